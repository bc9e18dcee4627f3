// Package document is the configuration of plain HTTP callers as one document: routes, services, customers and bounds
// under one version that operators count. A document replaces the one before it as a whole.
package document

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"azuredoor.example/core/config"
)

// Document is one configuration. It is immutable once Index was called.
type Document struct {
	// Version is at least 1; the highest acknowledged version is in force.
	Version   uint64
	Routes    []*Route
	Services  map[string]*Service
	Customers map[string]*Customer
	Bounds    Bounds

	// hosts holds the routes of each host, the longest path prefix first.
	hosts map[string][]*Route
	keys  map[[sha256.Size]byte]*Customer
}

// Route says what happens to the requests of a host whose path begins with a prefix.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	RepeatRule config.RepeatRule
	// Stream marks routes whose answers are event streams. Resumable streams may go on at another upstream after the
	// last event that was passed on.
	Stream, Resumable bool
	// Timeout bounds a whole request and is positive. Target is the time to the whole answer, or to the first event,
	// in which an answer is of full use; GapTarget is the longest pause between events for the same.
	Timeout, Target, GapTarget time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Targets are the services that share the route's requests. Their weights add up to more than 0.
	Targets []Target
	// Attempts is the largest number of upstreams that one request may run on, at least 1.
	Attempts int
	// Open routes need no key.
	Open bool
	// Generation marks routes to model engines.
	Generation bool
}

// Target is one service of a route.
type Target struct {
	Service string
	Weight  int
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// Connections bounds the connections to one upstream from all entries together; 0 means no bound.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once, CacheTokens what it holds in memory.
	Slots, CacheTokens int
	// HandleLifetime is how long an engine keeps the result of a prefill that nobody took.
	HandleLifetime time.Duration
	// Reservation is how long at most an engine keeps room for a request that is announced to it; 0 for engines that
	// keep none.
	Reservation time.Duration
	// EventTokens is the number of output tokens in one event of a stream, at least 1.
	EventTokens int
}

// Customer is who a request runs for.
type Customer struct {
	Name string
	// Keys are the access keys in force.
	Keys []string
	// Priority is the customer's rank; 0 is the most urgent. It goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Limit is zero for customers without a limit.
	Limit config.Limit
	// RequestTokens is the charge of a request that states no tokens.
	RequestTokens int64
}

// Bounds are what callers may send. A zero value means no bound.
type Bounds struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// ErrInvalid is wrapped by all errors of Index.
var ErrInvalid = errors.New("the configuration is invalid")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Index checks the document as a whole and prepares it for look-ups.
func (d *Document) Index() error {
	if d.Version == 0 {
		return invalid("version: want at least 1")
	}
	d.hosts = map[string][]*Route{}
	for _, r := range d.Routes {
		if err := d.checkRoute(r); err != nil {
			return err
		}
		host := strings.ToLower(r.Host)
		if slices.ContainsFunc(d.hosts[host], func(other *Route) bool { return other.PathPrefix == r.PathPrefix }) {
			return invalid("route %q: another route has the host %q and the prefix %q", r.Name, r.Host, r.PathPrefix)
		}
		d.hosts[host] = append(d.hosts[host], r)
	}
	for _, routes := range d.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	d.keys = map[[sha256.Size]byte]*Customer{}
	for _, c := range d.Customers {
		for _, key := range c.Keys {
			sum := sha256.Sum256([]byte(key))
			if other := d.keys[sum]; other != nil && other != c {
				return invalid("customers %q and %q share a key", min(c.Name, other.Name), max(c.Name, other.Name))
			}
			d.keys[sum] = c
		}
	}
	return nil
}

func (d *Document) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("route %q: prefix %q: want a slash at both ends", r.Name, r.PathPrefix)
	}
	if r.Timeout <= 0 {
		return invalid("route %q: timeout %v: want more than 0", r.Name, r.Timeout)
	}
	if r.Attempts < 1 {
		return invalid("route %q: attempts %d: want at least 1", r.Name, r.Attempts)
	}
	sum := 0
	for _, t := range r.Targets {
		s := d.Services[t.Service]
		if s == nil {
			return invalid("route %q: service %q is unknown", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return invalid("route %q: service %q: weight %d: want at least 0", r.Name, t.Service, t.Weight)
		}
		sum += t.Weight
		r.Generation = r.Generation || s.Engine != nil
	}
	if sum == 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

// Route returns the route of a request, or nil. The host may carry a port.
func (d *Document) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := d.hosts[host]
	if i := strings.LastIndexByte(host, ':'); !ok && i >= 0 {
		routes = d.hosts[host[:i]]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Holder returns the customer that holds a key, or nil.
func (d *Document) Holder(key string) *Customer {
	if key == "" {
		return nil
	}
	return d.keys[sha256.Sum256([]byte(key))]
}

// Service chooses the service of one request by the weights. Pick is uniform over all values.
func (r *Route) Service(pick uint64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := int(pick % uint64(sum))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

// Allows says whether the route may send requests to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}
