package fleet

import (
	"fmt"
	"strings"
)

// Standin describes the stand-in process of an upstream or of the weight store.
type Standin struct {
	ID string
	// Kind is "engine", "service" or "weightstore".
	Kind string
	// Role is set for engines.
	Role, Pool    string
	Models        []string
	FailureDomain string
	ChecksFencing bool
}

// Deployment describes the environment of the router: its failure domains, customers, models, routes and upstreams.
type Deployment struct {
	Name, Region   string
	FailureDomains []string
	Customers      []string
	// Large is a customer with a large share of the load, Small one with a small share. Both are in Customers.
	Large, Small string
	// Models are in the same order as in the engine pool.
	Models []string
	// Idempotent, NonIdempotent and Open are paths of plain routes. Requests to Open need no access key.
	Idempotent, NonIdempotent, Open string
	Standins                        []Standin
}

const (
	prefillEngines   = 3
	decodeEngines    = 6
	serviceInstances = 3
)

// Quetzaltenango returns the deployment of the Quetzaltenango Slipper Works.
func Quetzaltenango() Deployment {
	d := Deployment{
		Name: "quetzaltenango", Region: "occidente",
		FailureDomains: []string{"xela-centro", "salcaja", "olintepeque"},
		Customers:      []string{"cantel-mill", "totonicapan-stores", "almolonga-workshop", "zunil-cooperative", "olintepeque-workshop"},
		Large:          "cantel-mill", Small: "zunil-cooperative",
		Models:     []string{"cutting-summary", "felt-notes"},
		Idempotent: "/clerk/stock", NonIdempotent: "/clerk/dispatch", Open: "/clerk/notices",
	}
	d.Standins = standins(d, "workshop-models", "clerk-counter")
	return d
}

// Lautoka returns the deployment of the Lautoka Netting Division.
func Lautoka() Deployment {
	d := Deployment{
		Name: "lautoka", Region: "viti-west",
		FailureDomains: []string{"lautoka-mill", "nadi-store", "ba-annex"},
		Customers:      []string{"suva-fisheries", "lautoka-port", "ba-sewing", "vitogo-nets", "labasa-line"},
		Large:          "suva-fisheries", Small: "vitogo-nets",
		Models:     []string{"tender-summary", "spec-check"},
		Idempotent: "/desk/stock", NonIdempotent: "/desk/booking", Open: "/desk/notices",
	}
	d.Standins = standins(d, "tender-readers", "order-desk")
	return d
}

// Deployments returns both deployments.
func Deployments() []Deployment { return []Deployment{Quetzaltenango(), Lautoka()} }

func standins(d Deployment, enginePool, servicePool string) []Standin {
	list := []Standin{{ID: "weights", Kind: "weightstore"}}
	add := func(count int, kind, role, pool string, models []string) {
		for i := range count {
			id := fmt.Sprintf("%s-%s-%d", pool, strings.TrimPrefix(role+"-"+kind, "-"), i+1)
			list = append(list, Standin{
				ID: id, Kind: kind, Role: role, Pool: pool, Models: models, FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
				// Every second upstream ignores fencing tokens.
				ChecksFencing: i%2 == 0,
			})
		}
	}
	add(prefillEngines, "engine", "prefill", enginePool, d.Models)
	add(decodeEngines, "engine", "decode", enginePool, d.Models)
	add(serviceInstances, "service", "", servicePool, nil)
	return list
}

// startStandins starts the weight store and the upstreams. Each upstream announces itself to the entries in turn.
func (f *Fleet) startStandins() error {
	entries := make([]string, f.options.Entries)
	for i := range entries {
		entries[i] = "http://" + f.Address(firstRouterHost+i, upstreamPort)
	}
	for i, s := range f.Standins() {
		listen := f.Address(firstStandinHost+i, standinPort)
		args := []string{"-kind", s.Kind, "-id", s.ID, "-listen", listen, "-log-file", f.ExecutionLog(s.ID)}
		if f.options.AdvertiseUpstream != nil && s.Kind != "weightstore" {
			address, err := f.options.AdvertiseUpstream(listen)
			if err != nil {
				return err
			}
			args = append(args, "-advertise", address)
		}
		if s.Kind != "weightstore" {
			args = append(args, "-announce", strings.Join(entries, ","), "-join-token-file", f.secretFile("join-token"),
				"-pool", s.Pool, "-failure-domain", s.FailureDomain, fmt.Sprintf("-checks-fencing=%v", s.ChecksFencing))
		}
		if s.Kind == "engine" {
			args = append(args, "-role", s.Role, "-models", strings.Join(s.Models, ","), "-weight-store", f.StandinURL("weights"))
			args = append(args, f.options.StandinArgs...)
		}
		if err := f.launch(s.ID, "azuredoor-standin", args...); err != nil {
			return err
		}
	}
	return nil
}

// ExecutionLog returns the path of the execution log of a stand-in.
func (f *Fleet) ExecutionLog(id string) string { return f.logFile(id + "-executions") }
