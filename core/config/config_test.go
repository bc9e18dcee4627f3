package config

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

const (
	testHash    = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"
	testProfile = `{"firstTokenTarget":"350ms","requestTimeout":"30s","queueTimeout":"5s","priority":1,` +
		`"repeatRule":"idempotent","customerLimit":{"tokensPerSecond":10,"burstTokens":20}}`
)

// TestDecodeNamesTheField guards against invalid objects that are accepted, and against errors that do not name the
// invalid field.
func TestDecodeNamesTheField(t *testing.T) {
	tests := []struct{ kind, name, spec, want string }{
		{"profile", "p", strings.Replace(testProfile, `"priority":1`, `"priority":11`, 1), "profile/p.priority"},
		{"profile", "p", strings.Replace(testProfile, `"5s"`, `"31s"`, 1), "profile/p.queueTimeout"},
		{"profile", "p", strings.Replace(testProfile, `"idempotent"`, `"nonIdempotent"`, 1), "profile/p.answerRetention"},
		{"profile", "p", strings.Replace(testProfile, `"tokensPerSecond":10`, `"tokensPerSecond":0`, 1), "profile/p.customerLimit.tokensPerSecond"},
		{"profile", "p", `{"priorty":1}`, `unknown field "priorty"`},
		{"customer", "c", `{"weight":0}`, "customer/c.weight"},
		{"key", "k", `{"customer":"c","sha256":"XYZ"}`, "key/k.sha256"},
		{"route", "r", `{"models":["m"],"pathPrefix":"/x","profile":"p","pool":"q"}`, "models and pathPrefix"},
		{"route", "r", `{"pathPrefix":"/x","methods":["get"],"profile":"p","pool":"q"}`, "route/r.methods[0]"},
		{"pool", "q", `{"kind":"engine"}`, "pool/q.models"},
		{"fleet", "fleet", `{"objective":"speed"}`, "fleet/fleet.objective"},
		{"fleet", "other", `{"objective":"goodput"}`, "fleet/other"},
		{"thing", "t", `{}`, "kind"},
		{"pool", "Bad Name", `{}`, "name"},
		{"customer", "c", `{"weight":1} {"weight":2}`, "more than one"},
	}
	for _, test := range tests {
		_, err := Decode(test.kind, test.name, []byte(test.spec))
		var field *FieldError
		if !errors.As(err, &field) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Decode(%s/%s, %s) got error %v, want it to name %s", test.kind, test.name, test.spec, err, test.want)
		}
	}
}

func mustDecode(t *testing.T, kind, name, spec string) Change {
	t.Helper()
	decoded, err := Decode(kind, name, []byte(spec))
	if err != nil {
		t.Fatal(err)
	}
	return Change{Kind: kind, Name: name, Spec: decoded}
}

func baseSet(t *testing.T) *Set {
	t.Helper()
	set, err := NewSet().Apply([]Change{
		mustDecode(t, KindProfile, "p", testProfile),
		mustDecode(t, KindCustomer, "c", `{"weight":1}`),
		mustDecode(t, KindKey, "k", `{"customer":"c","sha256":"`+testHash+`"}`),
		mustDecode(t, KindPool, "engines", `{"kind":"engine","models":["m"]}`),
		mustDecode(t, KindPool, "desk", `{"kind":"service"}`),
		mustDecode(t, KindRoute, "model", `{"models":["m"],"profile":"p","pool":"engines"}`),
		mustDecode(t, KindRoute, "stock", `{"pathPrefix":"/desk/stock","methods":["GET"],"profile":"p","pool":"desk"}`),
		mustDecode(t, KindRoute, "all", `{"pathPrefix":"/desk","profile":"p","pool":"desk"}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// TestApplyRefusesBrokenReferences guards against a configuration with references to missing objects, or with duplicate
// hashes or models.
func TestApplyRefusesBrokenReferences(t *testing.T) {
	set := baseSet(t)
	tests := []struct {
		name   string
		change Change
		want   string
	}{
		{"customer in use", Change{Kind: KindCustomer, Name: "c"}, "key/k.customer"},
		{"profile in use", Change{Kind: KindProfile, Name: "p"}, ".profile"},
		{"pool in use", Change{Kind: KindPool, Name: "desk"}, ".pool"},
		{"same hash", mustDecode(t, KindKey, "k2", `{"customer":"c","sha256":"`+testHash+`"}`), "key/k2.sha256"},
		{"same model", mustDecode(t, KindRoute, "r2", `{"models":["m"],"profile":"p","pool":"engines"}`), "route/r2.models"},
		{"wrong pool kind", mustDecode(t, KindRoute, "r3", `{"pathPrefix":"/x","profile":"p","pool":"engines"}`), "route/r3.pool"},
	}
	for _, test := range tests {
		if _, err := set.Apply([]Change{test.change}); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want it to name %s", test.name, err, test.want)
		}
	}
	if _, ok := set.KeyByHash(testHash); !ok {
		t.Error("a refused change modified the set")
	}
}

// TestLookups guards against requests that are matched to the wrong route, key or token bucket.
func TestLookups(t *testing.T) {
	set := baseSet(t)
	tests := []struct{ method, path, want string }{
		{"GET", "/desk/stock/7", "stock"},
		{"POST", "/desk/stock/7", "all"},
		{"GET", "/other", ""},
	}
	for _, test := range tests {
		if got, _ := set.RouteForPath(test.method, test.path); got != test.want {
			t.Errorf("RouteForPath(%s %s) got %q, want %q", test.method, test.path, got, test.want)
		}
	}
	withoutKey, err := set.Apply([]Change{{Kind: KindKey, Name: "k"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := withoutKey.KeyByHash(testHash); ok {
		t.Error("a deleted key is still found")
	}
	if name, limit := set.LimitFor("c", "p"); name != "c/p" || limit.BurstTokens != 20 {
		t.Errorf("LimitFor got %q %+v", name, limit)
	}
}

// FuzzDecode guards against a panic on untrusted input, and against an accepted object whose encoded form is refused.
func FuzzDecode(f *testing.F) {
	f.Add(KindProfile, "p", []byte(testProfile))
	f.Add(KindCustomer, "c", []byte(`{"weight":1,"limit":{"tokensPerSecond":1,"burstTokens":1}}`))
	f.Add(KindRoute, "r", []byte(`{"models":["m"],"profile":"p","pool":"q"}`))
	f.Add(KindFleet, "fleet", []byte(`{"objective":"goodput","retryPercent":10}`))
	f.Fuzz(func(t *testing.T, kind, name string, data []byte) {
		spec, err := Decode(kind, name, data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(spec)
		if err != nil {
			t.Fatalf("encode an accepted object: %v", err)
		}
		if _, err := Decode(kind, name, encoded); err != nil {
			t.Errorf("an accepted object is refused after encoding: %v", err)
		}
	})
}
