package upstream

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"azuredoor.example/core/settings"
	"azuredoor.example/standin/engine"
)

// Kinds of stand-ins.
const (
	KindEngine      = "engine"
	KindService     = "service"
	KindWeightStore = "weightstore"
)

// Settings are the settings of one stand-in process.
type Settings struct {
	Kind, ID, Listen string
	// Advertise is the announced address, for example the address of a proxy. It defaults to Listen.
	Advertise string
	// Announce lists base URLs of entries, separated by commas.
	Announce      string
	JoinTokenFile string
	Role, Pool    string
	Models        string
	FailureDomain string
	ChecksFencing bool
	LogFile       string
	// LeaveDelay is the minimum time between the announcement of leaving and the exit, in which the announcement
	// reaches the entries.
	LeaveDelay  time.Duration
	Engine      engine.Config
	Latency     time.Duration
	Concurrency int
	WeightRate  int64
	WeightBytes int64
	eventLoss   float64
}

// address returns the announced address.
func (s *Settings) address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen
}

// entries returns the base URLs of the entries that receive announcements.
func (s *Settings) entries() []string { return splitList(s.Announce) }

func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// Parse parses the settings from the arguments and the environment. It exits with code 2 if they are invalid.
func Parse(args []string) *Settings {
	s := &Settings{}
	set := settings.New("azuredoor-standin", "AZUREDOOR_STANDIN")
	s.define(set)
	set.ParseOrExit(args, s.check)
	return s
}

const (
	maxPeriod = 10 * time.Minute
	maxCount  = 1 << 30
)

func (s *Settings) define(set *settings.Set) {
	set.Required("id", "listen")
	set.Choice(&s.Kind, "kind", KindEngine, []string{KindEngine, KindService, KindWeightStore}, "kind of upstream: engine, service or weightstore")
	set.Text(&s.ID, "id", "", "ID of the upstream, unique in the fleet")
	set.Address(&s.Listen, "listen", "", "IP:port to listen on")
	set.Address(&s.Advertise, "advertise", "", "IP:port to announce; empty announces the listening address")
	set.Text(&s.Announce, "announce", "", "base URLs of entries, separated by commas; empty announces nothing")
	set.Text(&s.JoinTokenFile, "join-token-file", "", "file with the join token")
	set.Choice(&s.Role, "role", engine.RoleBoth, []string{engine.RolePrefill, engine.RoleDecode, engine.RoleBoth}, "role of an engine: prefill, decode or both")
	set.Text(&s.Pool, "pool", "", "pool to announce")
	set.Text(&s.Models, "models", "", "loaded models, separated by commas")
	set.Text(&s.FailureDomain, "failure-domain", "", "failure domain to announce")
	set.BoolVar(&s.ChecksFencing, "checks-fencing", false, "refuse orders with a stale fencing number")
	set.Text(&s.LogFile, "log-file", "", "execution log, JSON lines; empty writes none")
	set.Period(&s.LeaveDelay, "leave-delay", time.Second, 0, maxPeriod, "shortest time between the announcement of leaving and the exit")

	set.Count(&s.Engine.Slots, "slots", 20, 1, 10000, "requests that a decode engine holds")
	set.Count(&s.Engine.PrefillRate, "prefill-rate", 20000, 1, maxCount, "prompt tokens per second")
	set.Period(&s.Engine.TokenGap, "token-gap", 20*time.Millisecond, 10*time.Microsecond, maxPeriod, "time between the tokens of a stream that runs alone")
	numberFlag(set, &s.Engine.BatchCost, "batch-cost", 1, 0, 100, "share by which the token gap has grown when all slots are in use")
	set.Count(&s.Engine.Batch, "batch", 20, 1, 10000, "streams that advance in one step")
	set.Count(&s.Engine.CacheBlocks, "cache-blocks", 64, 0, maxCount, "blocks of 1,024 tokens in the prefix cache")
	bytesFlag(set, &s.Engine.KVBytesPerToken, "kv-bytes-per-token", 100<<10, "KV cache bytes of one token")
	bytesFlag(set, &s.Engine.KVCapacity, "kv-capacity", 0, "KV cache bytes that an engine holds; 0 means no bound")
	bytesFlag(set, &s.Engine.LinkRate, "link-rate", 10<<30, "bytes per second of the transfer link; 0 means no bound")
	set.Period(&s.Engine.PrefillTTL, "prefill-ttl", 900*time.Millisecond, time.Millisecond, maxPeriod, "time that a prefill result waits for its transfer")
	set.Period(&s.Engine.ReserveTTL, "reserve-ttl", 5*time.Second, time.Millisecond, maxPeriod, "time that a reservation waits for its decode")
	set.Period(&s.Engine.ResumeTTL, "resume-ttl", 2*time.Second, time.Millisecond, maxPeriod, "time that a stream without connection keeps its slot")
	set.Period(&s.Engine.PullTimeout, "pull-timeout", time.Second, time.Millisecond, maxPeriod, "longest time without progress of a transfer")
	set.Period(&s.Engine.EventLag, "event-lag", 200*time.Millisecond, 0, maxPeriod, "delay of cache events")
	numberFlag(set, &s.eventLoss, "event-loss", 0.01, 0, 1, "share of events that are lost")
	set.Period(&s.Engine.LoadLag, "load-lag", 300*time.Millisecond, 0, maxPeriod, "delay of load reports")
	set.Text(&s.Engine.WeightStore, "weight-store", "", "base URL of the weight store; empty loads models in load-time")
	set.Period(&s.Engine.LoadTime, "load-time", 500*time.Millisecond, 0, maxPeriod, "time to load a model without a weight store")

	set.Period(&s.Latency, "latency", 20*time.Millisecond, 0, maxPeriod, "processing time of a plain service")
	set.Count(&s.Concurrency, "concurrency", 8, 1, 10000, "requests that a plain service processes at once")

	bytesFlag(set, &s.WeightRate, "weight-rate", 64<<20, "bytes per second that all downloads from the weight store share")
	bytesFlag(set, &s.WeightBytes, "weight-bytes", 16<<20, "size of each model version in the weight store")
}

func (s *Settings) check() error {
	if s.Kind != KindWeightStore && s.Pool == "" {
		return errors.New("setting -pool is missing: want the pool of the upstream")
	}
	if s.Kind == KindEngine && len(splitList(s.Models)) == 0 {
		return errors.New("setting -models is missing: want the models of the engine")
	}
	if s.Announce != "" && s.JoinTokenFile == "" {
		return errors.New("setting -join-token-file is missing: -announce needs it")
	}
	for _, entry := range s.entries() {
		if parsed, err := url.Parse(entry); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			return fmt.Errorf("setting -announce: got %q, want http://IP:port", entry)
		}
	}
	return nil
}

func numberFlag(set *settings.Set, target *float64, name string, value, low, high float64, usage string) {
	*target = value
	set.Func(name, fmt.Sprintf("%s (default %v)", usage, value), func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n < low || n > high {
			return fmt.Errorf("want a number from %v to %v", low, high)
		}
		*target = n
		return nil
	})
}

func bytesFlag(set *settings.Set, target *int64, name string, value int64, usage string) {
	*target = value
	set.Func(name, fmt.Sprintf("%s (default %d)", usage, value), func(text string) error {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return errors.New("want a whole number of bytes, 0 or more")
		}
		*target = n
		return nil
	})
}
