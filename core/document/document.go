// Package document defines the configuration document for plain HTTP requests: routes, services, customers and bounds
// under one version number that operators assign. A new version replaces the whole previous document.
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

// Document is one version of the configuration. A document is immutable after the call of Index.
type Document struct {
	// Version is at least 1. The highest acknowledged version is in force.
	Version   uint64
	Routes    []*Route
	Services  map[string]*Service
	Customers map[string]*Customer
	Bounds    Bounds

	// hosts holds the routes of each host in lower case, the longest path prefix first.
	hosts map[string][]*Route
	// keys holds the customer of each access key, by the SHA-256 hash of the key.
	keys map[[sha256.Size]byte]*Customer
}

// Route configures the requests to a host whose path begins with a prefix.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// RepeatRule determines whether a request may be executed more than once.
	RepeatRule config.RepeatRule
	// Stream is set for routes whose responses are event streams. Resumable is set for streams that may resume on another
	// upstream after the last forwarded event.
	Stream, Resumable bool
	// Timeout bounds the whole request and is positive. Target is the target for the time to the complete response, or
	// to the first event of a stream. GapTarget is the target for the time between events.
	Timeout, Target, GapTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Targets holds the services that share the route's requests. The sum of the weights is positive.
	Targets []Target
	// MaxAttempts is the maximum number of upstreams that one request may run on, at least 1.
	MaxAttempts int
	// Open is set for routes that need no key.
	Open bool
	// Regions are the regions whose upstreams may run the route's requests; empty for all.
	Regions []string
	// Generation is set by Index for routes to model engines.
	Generation bool
}

// Target is one service of a route.
type Target struct {
	Service string
	// Weight is the relative share of the route's requests, at least 0.
	Weight int
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// MaxConnections bounds the total connections of all entries to one upstream; 0 means no bound.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start. ColdRate is the number of requests per second that a cold upstream
	// bears from the whole fleet; 0 for upstreams that bear any.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently. CacheTokens is the capacity of its KV cache.
	Slots, CacheTokens int
	// HandleLifetime is how long an engine keeps the result of a prefill that no decode has fetched.
	HandleLifetime time.Duration
	// Reservation bounds how long an engine keeps KV-cache memory reserved for an announced request; 0 for engines
	// without reservations.
	Reservation time.Duration
	// EventTokens is the number of output tokens in one event of a stream, at least 1.
	EventTokens int
}

// Customer is the owner of requests, identified by access keys.
type Customer struct {
	Name string
	// Keys holds the valid access keys.
	Keys []string
	// Priority is the priority of the customer's requests; 0 is the most urgent.
	Priority int
	// HasPriority is set if Priority replaces the priority of the route.
	HasPriority bool
	// Limit is the zero value for customers without a limit.
	Limit config.Limit
	// RequestTokens is the charge of a request without a token count.
	RequestTokens int64
	// Regions are the regions whose upstreams may run the customer's requests; empty for all.
	Regions []string
}

// AllowedRegions returns the regions whose upstreams may run a request, nil for all. Where the route and the customer both have
// regions, both bind, so that the result may be empty but not nil. The customer may be nil.
func AllowedRegions(r *Route, c *Customer) []string {
	if c == nil || len(c.Regions) == 0 {
		if len(r.Regions) == 0 {
			return nil
		}
		return r.Regions
	}
	if len(r.Regions) == 0 {
		return c.Regions
	}
	common := []string{}
	for _, region := range r.Regions {
		if slices.Contains(c.Regions, region) {
			common = append(common, region)
		}
	}
	return common
}

// Bounds limits the size and timing of requests and connections of callers. A zero field means no bound.
type Bounds struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// ErrInvalid is the error that all errors of Index wrap.
var ErrInvalid = errors.New("the configuration is invalid")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Index validates the document and builds the indexes for Route and CustomerByKey.
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
	if r.MaxAttempts < 1 {
		return invalid("route %q: attempts %d: want at least 1", r.Name, r.MaxAttempts)
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

// Route returns the route of a request, or nil. The host may include a port.
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

// CustomerByKey returns the customer of an access key, or nil.
func (d *Document) CustomerByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return d.keys[sha256.Sum256([]byte(key))]
}

// PickService selects the service of one request in proportion to the weights, where pick is a uniformly distributed random
// number.
func (r *Route) PickService(pick uint64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	offset := int(pick % uint64(sum))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[0].Service
}

// Allows reports whether the route may send requests to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}
