package itest

import (
	"testing"

	"azuredoor.example/bench/proxy"
)

// startProxy starts a fault proxy in front of target and stops the proxy at the end of the test.
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
