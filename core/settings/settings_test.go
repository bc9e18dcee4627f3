package settings

import (
	"strings"
	"testing"
	"time"
)

// TestParseRefusesBadSettings guards against a process that starts with invalid, unknown or missing settings.
func TestParseRefusesBadSettings(t *testing.T) {
	tests := []struct {
		name string
		args []string
		env  map[string]string
		want []string
	}{
		{"unknown flag", []string{"-nope=1"}, nil, []string{"nope"}},
		{"unknown variable", nil, map[string]string{"TESTPREFIX_NOPE": "1"}, []string{"TESTPREFIX_NOPE", `"1"`}},
		{"missing", nil, nil, []string{"-listen", "TESTPREFIX_LISTEN", "missing"}},
		{"bad address", []string{"-listen=host"}, nil, []string{"listen", `"host"`, "IP:port"}},
		{"host name", []string{"-listen=localhost:80"}, nil, []string{"listen", "IP number"}},
		{"bad variable", nil, map[string]string{"TESTPREFIX_TTL": "9h"}, []string{"ttl", "9h", "1s to 1m"}},
		{"bad count", []string{"-shards=0"}, nil, []string{"shards", `"0"`, "1 to 8"}},
		{"bad choice", []string{"-policy=fast"}, nil, []string{"policy", `"fast"`, "naive, full"}},
		{"argument", []string{"-listen=127.0.0.1:80", "extra"}, nil, []string{"extra"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for name, value := range test.env {
				t.Setenv(name, value)
			}
			set, _ := testSet()
			err := set.Parse(test.args)
			if err == nil {
				t.Fatalf("Parse(%q): got no error", test.args)
			}
			for _, want := range test.want {
				if got := err.Error(); !strings.Contains(got, want) || strings.Contains(got, "\n") {
					t.Errorf("error got %q, want one line with %q", got, want)
				}
			}
		})
	}
}

type testValues struct {
	listen string
	ttl    time.Duration
	shards int
	policy string
}

func testSet() (*Set, *testValues) {
	v := &testValues{}
	set := New("test", "TESTPREFIX")
	set.Address(&v.listen, "listen", "", "IP:port to listen on")
	set.Period(&v.ttl, "ttl", time.Second, time.Second, time.Minute, "lifetime")
	set.Count(&v.shards, "shards", 1, 1, 8, "number of shards")
	set.Choice(&v.policy, "policy", "full", []string{"naive", "full"}, "policy")
	set.Required("listen")
	return set, v
}

// TestFlagsOverrideVariables guards against environment variables that override flags.
func TestFlagsOverrideVariables(t *testing.T) {
	t.Setenv("TESTPREFIX_TTL", "5s")
	t.Setenv("TESTPREFIX_SHARDS", "3")
	set, got := testSet()
	if err := set.Parse([]string{"-listen=127.0.0.1:80", "-shards=4"}); err != nil {
		t.Fatal(err)
	}
	want := testValues{listen: "127.0.0.1:80", ttl: 5 * time.Second, shards: 4, policy: "full"}
	if *got != want {
		t.Errorf("got %+v, want %+v", *got, want)
	}
}
