package config

import (
	"maps"
	"slices"
	"strings"
)

// Change creates or replaces an object, or deletes the object if Spec is nil.
type Change struct {
	Kind, Name string
	Spec       Spec
}

// Set is an immutable, indexed configuration.
type Set struct {
	Profiles  map[string]*Profile
	Customers map[string]*Customer
	Keys      map[string]*Key
	Routes    map[string]*Route
	Pools     map[string]*Pool
	Fleet     Fleet

	keysByHash    map[string]string
	routesByModel map[string]string
	// pathRoutes is ordered by descending prefix length, then by name.
	pathRoutes []string
}

// NewSet returns an empty configuration.
func NewSet() *Set {
	return &Set{
		Profiles: map[string]*Profile{}, Customers: map[string]*Customer{}, Keys: map[string]*Key{},
		Routes: map[string]*Route{}, Pools: map[string]*Pool{}, Fleet: DefaultFleet,
		keysByHash: map[string]string{}, routesByModel: map[string]string{},
	}
}

// Apply returns a copy of s with the changes applied, or a *FieldError. Only the maps of changed kinds are copied; the
// others are shared with s, which stays unchanged.
func (s *Set) Apply(changes []Change) (*Set, error) {
	next := *s
	copied := map[string]bool{}
	for _, change := range changes {
		if !copied[change.Kind] {
			next.copyKind(change.Kind)
			copied[change.Kind] = true
		}
		if err := next.put(change); err != nil {
			return nil, err
		}
	}
	if err := next.checkReferences(changes); err != nil {
		return nil, err
	}
	if copied[KindRoute] {
		if err := next.indexRoutes(); err != nil {
			return nil, err
		}
	}
	return &next, nil
}

func (s *Set) copyKind(kind string) {
	switch kind {
	case KindProfile:
		s.Profiles = maps.Clone(s.Profiles)
	case KindCustomer:
		s.Customers = maps.Clone(s.Customers)
	case KindKey:
		s.Keys = maps.Clone(s.Keys)
		s.keysByHash = maps.Clone(s.keysByHash)
	case KindRoute:
		s.Routes = maps.Clone(s.Routes)
	case KindPool:
		s.Pools = maps.Clone(s.Pools)
	}
}

func (s *Set) put(change Change) error {
	switch change.Kind {
	case KindProfile:
		putObject(s.Profiles, change)
	case KindCustomer:
		putObject(s.Customers, change)
	case KindKey:
		return s.putKey(change)
	case KindRoute:
		putObject(s.Routes, change)
	case KindPool:
		putObject(s.Pools, change)
	case KindFleet:
		s.Fleet = DefaultFleet
		if change.Spec != nil {
			s.Fleet = *change.Spec.(*Fleet)
		}
	default:
		return fieldError(change.Kind+"/"+change.Name, "unknown kind")
	}
	return nil
}

func putObject[T any](target map[string]*T, change Change) {
	if change.Spec == nil {
		delete(target, change.Name)
		return
	}
	target[change.Name] = any(change.Spec).(*T)
}

func (s *Set) putKey(change Change) error {
	if old, ok := s.Keys[change.Name]; ok {
		delete(s.keysByHash, old.SHA256)
	}
	putObject(s.Keys, change)
	key, ok := s.Keys[change.Name]
	if !ok {
		return nil
	}
	if other, taken := s.keysByHash[key.SHA256]; taken {
		return fieldError(KindKey+"/"+change.Name+".sha256", "is already the hash of key %q", other)
	}
	s.keysByHash[key.SHA256] = change.Name
	return nil
}

// checkReferences checks the references of the changed objects. If an object is deleted, checkReferences also scans all
// keys and routes, because only a deletion can invalidate references of unchanged objects.
func (s *Set) checkReferences(changes []Change) error {
	deleted := false
	for _, change := range changes {
		if change.Spec == nil {
			deleted = true
			continue
		}
		if err := s.checkObject(change.Kind, change.Name); err != nil {
			return err
		}
	}
	if !deleted {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.Keys)) {
		if err := s.checkObject(KindKey, name); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		if err := s.checkObject(KindRoute, name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) checkObject(kind, name string) error {
	path := kind + "/" + name
	if key, ok := s.Keys[name]; ok && kind == KindKey {
		if s.Customers[key.Customer] == nil {
			return fieldError(path+".customer", "customer %q does not exist", key.Customer)
		}
	}
	if route, ok := s.Routes[name]; ok && kind == KindRoute {
		return s.checkRoute(path, route)
	}
	return nil
}

func (s *Set) checkRoute(path string, route *Route) error {
	if s.Profiles[route.Profile] == nil {
		return fieldError(path+".profile", "profile %q does not exist", route.Profile)
	}
	pool := s.Pools[route.Pool]
	if pool == nil {
		return fieldError(path+".pool", "pool %q does not exist", route.Pool)
	}
	if (pool.Kind == PoolEngine) != (len(route.Models) > 0) {
		return fieldError(path+".pool", "pool %q has kind %q; engine pools go with models, service pools with pathPrefix", route.Pool, pool.Kind)
	}
	return nil
}

func (s *Set) indexRoutes() error {
	s.routesByModel = map[string]string{}
	s.pathRoutes = nil
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		route := s.Routes[name]
		for _, model := range route.Models {
			if other, taken := s.routesByModel[model]; taken {
				return fieldError(KindRoute+"/"+name+".models", "model %q already belongs to route %q", model, other)
			}
			s.routesByModel[model] = name
		}
		if route.PathPrefix != "" {
			s.pathRoutes = append(s.pathRoutes, name)
		}
	}
	slices.SortStableFunc(s.pathRoutes, func(a, b string) int {
		return len(s.Routes[b].PathPrefix) - len(s.Routes[a].PathPrefix)
	})
	return nil
}

// KeyByHash returns the name of the key with a SHA-256 hash, given in lower-case hex.
func (s *Set) KeyByHash(hash string) (string, bool) {
	name, ok := s.keysByHash[hash]
	return name, ok
}

// RouteForModel returns the name of the engine route of a model.
func (s *Set) RouteForModel(model string) (string, bool) {
	name, ok := s.routesByModel[model]
	return name, ok
}

// RouteForPath returns the name of the service route that has the longest matching prefix and allows the method.
func (s *Set) RouteForPath(method, path string) (string, bool) {
	for _, name := range s.pathRoutes {
		route := s.Routes[name]
		if strings.HasPrefix(path, route.PathPrefix) && (len(route.Methods) == 0 || slices.Contains(route.Methods, method)) {
			return name, true
		}
	}
	return "", false
}

// LimitFor returns the name and limit of the token bucket for a customer's requests under a profile.
func (s *Set) LimitFor(customer, profile string) (string, Limit) {
	if c := s.Customers[customer]; c != nil && c.Limit != nil {
		return customer, *c.Limit
	}
	if p := s.Profiles[profile]; p != nil {
		return customer + "/" + profile, p.CustomerLimit
	}
	return customer, Limit{}
}
