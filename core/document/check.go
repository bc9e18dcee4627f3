package document

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"azuredoor.example/core/config"
)

// Finding is something in a valid document that its author should know.
type Finding struct {
	// Object is the object that it concerns, for example `route "a"`.
	Object string `json:"object"`
	Text   string `json:"text"`
}

// Findings returns entries of an indexed document that can never match or are never used, and limits that contradict each
// other. None of them makes the document invalid.
func (d *Document) Findings() []Finding {
	var all []Finding
	add := func(kind, name, format string, args ...any) {
		all = append(all, Finding{fmt.Sprintf("%s %q", kind, name), fmt.Sprintf(format, args...)})
	}
	used := map[string]bool{}
	for _, r := range d.Routes {
		d.checkUse(r, add)
		for _, t := range r.Targets {
			used[t.Service] = used[t.Service] || t.Weight > 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		s := d.Services[name]
		if !used[name] {
			add("service", name, "no route sends requests to it")
		}
		if e := s.Engine; e != nil && s.MaxConnections > 0 && s.MaxConnections < e.Slots {
			add("service", name, "%d connections to an engine cannot fill its %d slots", s.MaxConnections, e.Slots)
		}
		if s.ColdRate > 0 && s.ColdStart == 0 {
			add("service", name, "the rate of cold upstreams has no effect, because they are cold for 0 s")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Customers)) {
		c := d.Customers[name]
		if len(c.Keys) == 0 {
			add("customer", name, "it has no access key, so no request can be its own")
		}
		if c.Limit.BurstTokens > 0 && c.RequestTokens > c.Limit.BurstTokens {
			add("customer", name, "a request without a token count is charged %d tokens, above the burst of %d, and always refused", c.RequestTokens, c.Limit.BurstTokens)
		}
		for _, r := range d.Routes {
			if regions := AllowedRegions(r, c); !r.Open && regions != nil && len(regions) == 0 {
				add("customer", name, "its regions and those of route %q have none in common, so its requests there are always refused", r.Name)
			}
		}
	}
	return all
}

func (d *Document) checkUse(r *Route, add func(kind, name, format string, args ...any)) {
	if r.Host == "" || strings.ContainsAny(r.Host, "/ ") {
		add("route", r.Name, "no request has the host %q", r.Host)
	}
	if strings.ContainsAny(r.PathPrefix, "?# ") {
		add("route", r.Name, "no path begins with %q", r.PathPrefix)
	}
	if i := strings.LastIndexByte(r.Host, ':'); i >= 0 && len(d.hosts[strings.ToLower(r.Host[:i])]) > 0 {
		add("route", r.Name, "requests to %q match none of the routes of %q", r.Host, r.Host[:i])
	}
	engines, used := 0, 0
	for _, t := range r.Targets {
		if t.Weight == 0 {
			add("route", r.Name, "service %q has the weight 0 and gets no requests", t.Service)
			continue
		}
		used++
		if d.Services[t.Service].Engine != nil {
			engines++
		}
	}
	if engines > 0 && engines < used {
		add("route", r.Name, "some of its services are model engines and some are not")
	}
	if r.Target > r.Timeout {
		add("route", r.Name, "the target of %v is above the timeout of %v", r.Target, r.Timeout)
	}
	if r.GapTarget > r.Timeout {
		add("route", r.Name, "the target between events of %v is above the timeout of %v", r.GapTarget, r.Timeout)
	}
	if r.MaxAttempts > 1 && r.RepeatRule == config.NonIdempotent {
		add("route", r.Name, "%d attempts have no effect, because its requests may run once only", r.MaxAttempts)
	}
}

// Differences returns what changes when an indexed document replaces another one, by object, and the routes that a changed service
// concerns. It never contains access keys.
func Differences(before, after *Document) []Finding {
	var all []Finding
	if after.Version <= before.Version {
		all = append(all, Finding{"version", fmt.Sprintf("%d does not replace %d, which is in force", after.Version, before.Version)})
	}
	all = append(all, compare("route", routesByName(before), routesByName(after), nil)...)
	all = append(all, compare("service", before.Services, after.Services, func(name string) string {
		var routes []string
		for _, r := range after.Routes {
			if r.Allows(name) {
				routes = append(routes, r.Name)
			}
		}
		if len(routes) == 0 {
			return ""
		}
		return " (routes " + strings.Join(routes, ", ") + ")"
	})...)
	all = append(all, compare("customer", before.Customers, after.Customers, nil)...)
	if changes := changedFields(before.Bounds, after.Bounds); changes != "" {
		all = append(all, Finding{"bounds", changes})
	}
	return all
}

func routesByName(d *Document) map[string]*Route {
	routes := make(map[string]*Route, len(d.Routes))
	for _, r := range d.Routes {
		// Names of routes may repeat; host and prefix do not.
		routes[r.Name+" "+r.Host+r.PathPrefix] = r
	}
	return routes
}

// compare lists the objects that were added, removed or changed. Concerns, if set, returns what a change concerns.
func compare[T any](kind string, before, after map[string]*T, concerns func(name string) string) []Finding {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	var all []Finding
	for _, name := range slices.Compact(names) {
		a, b := before[name], after[name]
		text := ""
		switch {
		case a == nil:
			text = "added"
		case b == nil:
			text = "removed"
		default:
			text = changedFields(*a, *b)
		}
		if text == "" {
			continue
		}
		if concerns != nil {
			text += concerns(name)
		}
		all = append(all, Finding{fmt.Sprintf("%s %q", kind, name), text})
	}
	return all
}

// changedFields describes the exported fields in which two structs differ. Of access keys it only says how many there are.
func changedFields[T any](before, after T) string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if !field.IsExported() || reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if field.Name == "Keys" {
			changes = append(changes, fmt.Sprintf("Keys: %d before, %d after, %d of them new", a.Field(i).Len(), b.Field(i).Len(), added(x, y)))
			continue
		}
		changes = append(changes, fmt.Sprintf("%s: %s before, %s after", field.Name, formatField(x), formatField(y)))
	}
	return strings.Join(changes, "; ")
}

// added returns how many keys of the second list are not in the first.
func added(before, after any) int {
	old, ok := before.([]string)
	keys, isList := after.([]string)
	if !ok || !isList {
		return 0
	}
	n := 0
	for _, key := range keys {
		if !slices.Contains(old, key) {
			n++
		}
	}
	return n
}

func formatField(v any) string {
	if e, ok := v.(*Engine); ok && e != nil {
		return fmt.Sprintf("%+v", *e)
	}
	return cmp.Or(fmt.Sprint(v), "none")
}
