package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// FieldError reports an invalid field of an object.
type FieldError struct {
	// Path is the kind, name and field, such as "profile/clerks.priority".
	Path string
	Text string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Text }

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Text: fmt.Sprintf(format, args...)}
}

// Spec is one of *Profile, *Customer, *Key, *Route, *Pool and *Fleet.
type Spec interface {
	check(path string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Decode decodes and validates the spec of one object. Set.Apply checks references to other objects.
func Decode(kind, name string, data []byte) (Spec, error) {
	path := kind + "/" + name
	if !namePattern.MatchString(name) {
		return nil, fieldError(path, "name: want 1 to 64 of a-z, 0-9, '.', '_' and '-', starting and ending with a letter or digit")
	}
	var spec Spec
	switch kind {
	case KindProfile:
		spec = &Profile{}
	case KindCustomer:
		spec = &Customer{}
	case KindKey:
		spec = &Key{}
	case KindRoute:
		spec = &Route{}
	case KindPool:
		spec = &Pool{}
	case KindFleet:
		spec = &Fleet{}
	default:
		return nil, fieldError(path, "kind: want profile, customer, key, route, pool or fleet")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return nil, fieldError(path, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if decoder.More() {
		return nil, fieldError(path, "more than one JSON value")
	}
	if err := spec.check(path); err != nil {
		return nil, err
	}
	return spec, nil
}

const (
	maxTokens          = int64(1) << 40
	maxTimeout         = 24 * time.Hour
	maxWeight          = 1000
	maxAnswerRetention = 30 * 24 * time.Hour
)

func (l *Limit) check(path string) error {
	if l.TokensPerSecond < 1 || l.TokensPerSecond > maxTokens {
		return fieldError(path+".tokensPerSecond", "got %d, want 1 to %d", l.TokensPerSecond, maxTokens)
	}
	if l.BurstTokens < 1 || l.BurstTokens > maxTokens {
		return fieldError(path+".burstTokens", "got %d, want 1 to %d", l.BurstTokens, maxTokens)
	}
	return nil
}

func checkDuration(path string, value Duration, low, high time.Duration) error {
	if time.Duration(value) < low || time.Duration(value) > high {
		return fieldError(path, "got %v, want %v to %v", time.Duration(value), low, high)
	}
	return nil
}

func (p *Profile) check(path string) error {
	if err := checkDuration(path+".firstTokenTarget", p.FirstTokenTarget, time.Millisecond, maxTimeout); err != nil {
		return err
	}
	if err := checkDuration(path+".tokenGapTarget", p.TokenGapTarget, 0, maxTimeout); err != nil {
		return err
	}
	if err := checkDuration(path+".requestTimeout", p.RequestTimeout, time.Duration(p.FirstTokenTarget), maxTimeout); err != nil {
		return err
	}
	if err := checkDuration(path+".queueTimeout", p.QueueTimeout, time.Millisecond, time.Duration(p.RequestTimeout)); err != nil {
		return err
	}
	if p.Priority < 0 || p.Priority > 9 {
		return fieldError(path+".priority", "got %d, want 0 to 9", p.Priority)
	}
	if p.RepeatRule != Idempotent && p.RepeatRule != NonIdempotent {
		return fieldError(path+".repeatRule", "got %q, want %q or %q", p.RepeatRule, Idempotent, NonIdempotent)
	}
	if p.RepeatRule == NonIdempotent {
		if err := checkDuration(path+".answerRetention", p.AnswerRetention, time.Second, maxAnswerRetention); err != nil {
			return err
		}
	}
	if p.RequestTokens < 0 || p.RequestTokens > maxTokens {
		return fieldError(path+".requestTokens", "got %d, want 0 to %d", p.RequestTokens, maxTokens)
	}
	return p.CustomerLimit.check(path + ".customerLimit")
}

func (c *Customer) check(path string) error {
	if c.Weight < 1 || c.Weight > maxWeight {
		return fieldError(path+".weight", "got %d, want 1 to %d", c.Weight, maxWeight)
	}
	if c.Limit == nil {
		return nil
	}
	return c.Limit.check(path + ".limit")
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (k *Key) check(path string) error {
	if k.Customer == "" {
		return fieldError(path+".customer", "is missing")
	}
	if !hashPattern.MatchString(k.SHA256) {
		return fieldError(path+".sha256", "want the SHA-256 of the key as 64 lower-case hex digits")
	}
	return nil
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (r *Route) check(path string) error {
	if (len(r.Models) == 0) == (r.PathPrefix == "") {
		return fieldError(path, "want exactly one of models and pathPrefix")
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		return fieldError(path+".pathPrefix", "got %q, want a path that starts with /", r.PathPrefix)
	}
	for i, method := range r.Methods {
		if !slices.Contains(methods, method) {
			return fieldError(fmt.Sprintf("%s.methods[%d]", path, i), "got %q, want one of %s", method, strings.Join(methods, ", "))
		}
	}
	if err := checkNames(path+".models", r.Models); err != nil {
		return err
	}
	if r.Profile == "" {
		return fieldError(path+".profile", "is missing")
	}
	if r.Pool == "" {
		return fieldError(path+".pool", "is missing")
	}
	return nil
}

func checkNames(path string, names []string) error {
	for i, name := range names {
		if name == "" || len(name) > 128 {
			return fieldError(fmt.Sprintf("%s[%d]", path, i), "got %q, want 1 to 128 bytes", name)
		}
		if slices.Contains(names[:i], name) {
			return fieldError(fmt.Sprintf("%s[%d]", path, i), "%q stands twice", name)
		}
	}
	return nil
}

func (p *Pool) check(path string) error {
	if p.Kind != PoolEngine && p.Kind != PoolService {
		return fieldError(path+".kind", "got %q, want %q or %q", p.Kind, PoolEngine, PoolService)
	}
	if p.Kind == PoolEngine && len(p.Models) == 0 {
		return fieldError(path+".models", "want at least one model for an engine pool")
	}
	for _, field := range []struct {
		name  string
		value int64
	}{{"linkBytesPerSecond", p.LinkBytesPerSecond}, {"modelBytes", p.ModelBytes}, {"prefillEngines", int64(p.PrefillEngines)}} {
		if field.value < 0 {
			return fieldError(path+"."+field.name, "got %d, want 0 or more", field.value)
		}
	}
	return checkNames(path+".models", p.Models)
}

func (f *Fleet) check(path string) error {
	if path != KindFleet+"/"+FleetName {
		return fieldError(path, "name: want %q", FleetName)
	}
	if f.Objective != WorstServed && f.Objective != Goodput {
		return fieldError(path+".objective", "got %q, want %q or %q", f.Objective, WorstServed, Goodput)
	}
	if f.RetryPercent < 0 || f.RetryPercent > 100 {
		return fieldError(path+".retryPercent", "got %d, want 0 to 100", f.RetryPercent)
	}
	if f.WeightStoreBytesPerSecond < 0 {
		return fieldError(path+".weightStoreBytesPerSecond", "got %d, want 0 or more", f.WeightStoreBytesPerSecond)
	}
	return nil
}
