package itest

import (
	"testing"

	"azuredoor.example/bench/proxy"
)

// startProxy starts a proxy that ends with the test.
func startProxy(t *testing.T, listen, target string) *proxy.Proxy {
	t.Helper()
	p, err := proxy.Start(listen, target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p
}
