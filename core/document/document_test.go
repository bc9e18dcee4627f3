package document

import (
	"errors"
	"slices"
	"testing"
	"time"

	"azuredoor.example/core/config"
)

func validDocument() *Document {
	return &Document{
		Version:  3,
		Services: map[string]*Service{"a": {Name: "a"}, "b": {Name: "b", Engine: &Engine{}}},
		Routes: []*Route{
			{Name: "short", Host: "h.example", PathPrefix: "/x/", Timeout: time.Second, MaxAttempts: 1, Targets: []Target{{"a", 1}}, RepeatRule: config.Idempotent},
			{Name: "long", Host: "h.example", PathPrefix: "/x/y/", Timeout: time.Second, MaxAttempts: 1, Targets: []Target{{"a", 0}, {"b", 3}}},
		},
		Customers: map[string]*Customer{"c": {Name: "c", Keys: []string{"k1"}}, "d": {Name: "d", Keys: []string{"k2", "k2"}}},
	}
}

// TestIndex guards against inconsistent documents that are accepted.
func TestIndex(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(d *Document)
		ok   bool
	}{
		"valid":                             {func(*Document) {}, true},
		"no version":                        {func(d *Document) { d.Version = 0 }, false},
		"unknown service":                   {func(d *Document) { d.Routes[0].Targets[0].Service = "z" }, false},
		"same host and prefix":              {func(d *Document) { d.Routes[1].PathPrefix = "/x/" }, false},
		"same prefix, host in another case": {func(d *Document) { d.Routes[1].PathPrefix, d.Routes[1].Host = "/x/", "H.example" }, false},
		"no weight":                         {func(d *Document) { d.Routes[1].Targets = []Target{{"a", 0}, {"b", 0}} }, false},
		"negative weight":                   {func(d *Document) { d.Routes[1].Targets = []Target{{"a", -1}, {"b", 3}} }, false},
		"no target":                         {func(d *Document) { d.Routes[1].Targets = nil }, false},
		"no timeout":                        {func(d *Document) { d.Routes[0].Timeout = 0 }, false},
		"no attempts":                       {func(d *Document) { d.Routes[0].MaxAttempts = 0 }, false},
		"prefix without final slash":        {func(d *Document) { d.Routes[0].PathPrefix = "/x" }, false},
		"shared key":                        {func(d *Document) { d.Customers["d"].Keys = []string{"k1"} }, false},
	} {
		d := validDocument()
		test.edit(d)
		err := d.Index()
		if got := err == nil; got != test.ok {
			t.Errorf("%s: got error %v, want valid %v", name, err, test.ok)
		}
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %v, want an error that wraps ErrInvalid", name, err)
		}
	}
}

// TestRoute guards against requests that are matched to the route of another host or of a shorter prefix.
func TestRoute(t *testing.T) {
	d := validDocument()
	if err := d.Index(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/x/1", "short"},
		{"H.Example:8080", "/x/1", "short"},
		{"h.example", "/x/y/1", "long"},
		{"h.example", "/x", ""},
		{"h.example", "/xy/1", ""},
		{"other.example", "/x/1", ""},
	} {
		got := ""
		if r := d.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("route of %s%s: got %q, want %q", test.host, test.path, got, test.want)
		}
	}
	if !d.Routes[1].Generation || d.Routes[0].Generation {
		t.Error("want only the route to engines marked as generation")
	}
}

// TestHolder guards against a key that is assigned to no customer or the wrong one, and against requests without a key
// that are assigned to a customer.
func TestHolder(t *testing.T) {
	d := validDocument()
	if err := d.Index(); err != nil {
		t.Fatal(err)
	}
	if got := d.CustomerByKey("k1"); got == nil || got.Name != "c" {
		t.Errorf("holder of k1: got %v, want c", got)
	}
	for _, key := range []string{"", "k", "k3"} {
		if got := d.CustomerByKey(key); got != nil {
			t.Errorf("holder of %q: got %v, want none", key, got.Name)
		}
	}
}

// TestWeights guards against a service of weight 0 that receives requests, and against shares that differ from the
// weights.
func TestWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 1}, {"none", 0}, {"b", 3}}}
	got := map[string]int{}
	for pick := range uint64(400) {
		got[r.PickService(pick)]++
	}
	if got["a"] != 100 || got["b"] != 300 || len(got) != 2 {
		t.Errorf("got %v, want 100 for a and 300 for b", got)
	}
	if r.Allows("none") || !r.Allows("b") || r.Allows("c") {
		t.Error("want only services with a positive weight allowed")
	}
}

// TestAllowedRegions guards against a request that runs in a region which only one of its route and its customer allows.
func TestAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		route, customer, want []string
	}{
		"neither":            {nil, nil, nil},
		"the route":          {[]string{"a"}, nil, []string{"a"}},
		"the customer":       {nil, []string{"b"}, []string{"b"}},
		"both":               {[]string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		"both, none in both": {[]string{"a"}, []string{"b"}, []string{}},
	} {
		got := AllowedRegions(&Route{Regions: test.route}, &Customer{Regions: test.customer})
		if !slices.Equal(got, test.want) || (got == nil) != (test.want == nil) {
			t.Errorf("%s: got %#v, want %#v", name, got, test.want)
		}
	}
	if got := AllowedRegions(&Route{Regions: []string{"a"}}, nil); !slices.Equal(got, []string{"a"}) {
		t.Errorf("without a customer: got %v, want [a]", got)
	}
}
