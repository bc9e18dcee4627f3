// Package engine implements a stand-in for an inference engine: prefill, KV transfer and decode.
package engine

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/journal"
	"azuredoor.example/standin/link"
)

// Roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Config configures an Engine.
type Config struct {
	ID string
	// Address is the address at which other engines pull KV cache from this engine.
	Address string
	Role    string
	Models  []string
	// Slots is the maximum number of requests with a decode slot, reserved or in use.
	Slots int
	// PrefillRate is the number of uncached prompt tokens processed per second.
	PrefillRate int
	// TokenGap is the time between tokens while a single stream runs.
	TokenGap time.Duration
	// BatchCost is the relative increase of the time between tokens when all slots are in use: that time is then
	// TokenGap * (1 + BatchCost).
	BatchCost float64
	// Batch is the maximum number of streams that advance in one step. Streams of higher priority go first.
	Batch int
	// CacheBlocks is the capacity of the prefix cache, in blocks of answer.BlockTokens tokens.
	CacheBlocks     int
	KVBytesPerToken int64
	// KVCapacity limits the KV cache of all active requests, in bytes; 0 means no limit.
	KVCapacity int64
	// LinkRate is the rate of the transfer link in bytes per second; 0 means no limit.
	LinkRate int64
	// PrefillTTL is the time after which a prefill result without a transfer expires.
	PrefillTTL time.Duration
	// ReserveTTL is the time after which a reservation without a decode expires.
	ReserveTTL time.Duration
	// ResumeTTL is the time for which a stream without a connection keeps its slot.
	ResumeTTL time.Duration
	// PullTimeout is the maximum time without progress of a transfer.
	PullTimeout time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventLoss is the fraction of events that are lost.
	EventLoss float64
	// LoadLag is the delay of load events.
	LoadLag time.Duration
	// WeightStore is the base URL of the weight store. If empty, loading a model takes LoadTime.
	WeightStore   string
	LoadTime      time.Duration
	ChecksFencing bool
	Incarnation   uint64
	Faults        *fault.Set
	Log           *journal.Log
	// SinceLeaving returns the time since the engine announced that it is leaving, or 0 if it is not leaving.
	SinceLeaving func() time.Duration
}

// Stats holds the counters that GET /stats reports.
type Stats struct {
	Slots       int   `json:"slots"`
	SlotsInUse  int   `json:"slotsInUse"`
	Reserved    int   `json:"reserved"`
	Streams     int   `json:"streams"`
	Detached    int   `json:"detached"`
	Waiting     int   `json:"waiting"`
	KVBytesHeld int64 `json:"kvBytesHeld"`
	// PrefillTokens counts the uncached prompt tokens that were processed.
	PrefillTokens int64 `json:"prefillTokens"`
	CachedTokens  int64 `json:"cachedTokens"`
	// WastedPrefillTokens counts the prompt tokens, cached or not, of prefill results that expired before any transfer.
	WastedPrefillTokens int64 `json:"wastedPrefillTokens"`
	// CancelledPrefillTokens counts the prompt tokens of prefill results that were cancelled before a complete transfer.
	CancelledPrefillTokens int64 `json:"cancelledPrefillTokens"`
	OutputTokens           int64 `json:"outputTokens"`
	// Prefills counts the started prefills.
	Prefills int64 `json:"prefills"`
	// Decodes counts the started decodes.
	Decodes   int64 `json:"decodes"`
	Resumes   int64 `json:"resumes"`
	Cancelled int64 `json:"cancelled"`
	// Transfers counts the completed outgoing transfers.
	Transfers int64 `json:"transfers"`
	// StartedLeaving counts the reservations and prefills accepted after the engine announced that it is leaving.
	StartedLeaving int64 `json:"startedLeaving"`
	// LatestStartLeavingMs is the longest time from that announcement to the acceptance of such work.
	LatestStartLeavingMs int64    `json:"latestStartLeavingMs"`
	OrdersAccepted       int64    `json:"ordersAccepted"`
	OrdersRefused        int64    `json:"ordersRefused"`
	OrderFences          []uint64 `json:"orderFences"`
	Models               []string `json:"models"`
	Role                 string   `json:"role"`
}

// Engine is a simulated engine. Its methods are safe for concurrent use.
type Engine struct {
	config Config
	link   *link.Link
	events *publisher
	client http.Client

	mu sync.Mutex
	// activeWork holds all work that has not ended, by work ID.
	activeWork     map[uint64]*work
	lastWork       uint64
	prefillQueue   []*queuedPrefill
	prefillRunning bool
	streams        []*stream
	wake           chan struct{}
	cache          *cache
	models         map[string]bool
	role           string
	fence          uint64
	orders         map[string]bool
	stats          Stats
}

// New returns an engine. Decodes advance only while Run is running.
func New(config Config) *Engine {
	e := &Engine{
		config: config, activeWork: map[uint64]*work{}, wake: make(chan struct{}, 1), cache: newCache(config.CacheBlocks),
		models: map[string]bool{}, role: config.Role, orders: map[string]bool{}, events: newPublisher(config),
	}
	// Each transfer uses its own connection, so that a stalled connection affects no other transfer.
	e.client.Transport = &http.Transport{DisableKeepAlives: true}
	e.link = link.New(config.LinkRate, config.Faults.Scale)
	for _, model := range config.Models {
		e.models[model] = true
	}
	return e
}

// workKind is the kind of a step of a request.
type workKind string

const (
	workReserve  workKind = "reserve"
	workPrefill  workKind = "prefill"
	workTransfer workKind = "transfer"
	workDecode   workKind = "decode"
)

// work is one step of a request for which the engine holds resources.
type work struct {
	id        uint64
	kind      workKind
	requestID string
	attempt   int
	priority  int
	model     string
	// slot is true if the work occupies a decode slot.
	slot    bool
	kvBytes int64
	tokens  int
	// stop ends the work. It is called at most once, without Engine.mu held.
	stop func()
	// timer ends the work when its time to live is over; nil while the work is running.
	timer *time.Timer
	// pulls is the number of transfers of a prefill result in progress.
	pulls int
	// pulled is true once a transfer of the result has completed.
	pulled bool
}

// owner returns the session that the request belongs to, which is the part of the request ID before the first hyphen.
func (w *work) owner() string {
	owner, _, _ := strings.Cut(w.requestID, "-")
	return owner
}

// matches reports whether requestID is the request ID of the work, with or without its attempt number.
func (w *work) matches(requestID string) bool {
	return w.requestID == requestID || w.requestID+"."+strconv.Itoa(w.attempt) == requestID
}

// addWork gives the work an ID and adds it to the active work. The caller must hold e.mu.
func (e *Engine) addWork(w *work) *work {
	e.lastWork++
	w.id = e.lastWork
	e.activeWork[w.id] = w
	return w
}

// removeWork removes the work from the active work and reports whether it was there. The caller must hold e.mu.
func (e *Engine) removeWork(w *work) bool {
	if e.activeWork[w.id] != w {
		return false
	}
	delete(e.activeWork, w.id)
	if w.timer != nil {
		w.timer.Stop()
	}
	return true
}

// usage returns the number of occupied slots and of KV cache bytes. The caller must hold e.mu.
func (e *Engine) usage() (slots int, bytes int64) {
	for _, w := range e.activeWork {
		if w.slot {
			slots++
		}
		bytes += w.kvBytes
	}
	return slots, bytes
}

// Cancel ends the work of a request or, if owner is not empty, of all requests of a session. It returns the number of
// steps ended.
func (e *Engine) Cancel(requestID, owner string) int {
	e.mu.Lock()
	var ended []*work
	for _, w := range e.activeWork {
		if owner != "" && w.owner() == owner || requestID != "" && w.matches(requestID) {
			if e.removeWork(w) {
				ended = append(ended, w)
				if w.kind == workTransfer && !w.pulled {
					e.stats.CancelledPrefillTokens += int64(w.tokens)
				}
			}
		}
	}
	e.stats.Cancelled += int64(len(ended))
	e.mu.Unlock()
	for _, w := range ended {
		if w.stop != nil {
			w.stop()
		}
	}
	return len(ended)
}

// WorkStatus describes one step of a request in GET /v1/requests.
type WorkStatus struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// Kind is "reserve", "prefill", "transfer" or "decode".
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Slot    uint64 `json:"slot,omitempty"`
	KVBytes int64  `json:"kvBytes"`
}

// Requests lists the active work of an owner, or of all owners if owner is empty.
func (e *Engine) Requests(owner string) []WorkStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []WorkStatus{}
	for _, w := range e.activeWork {
		if owner != "" && w.owner() != owner {
			continue
		}
		h := WorkStatus{RequestID: w.requestID, Attempt: w.attempt, Kind: string(w.kind), Model: w.model, KVBytes: w.kvBytes}
		if w.slot {
			h.Slot = w.id
		}
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b WorkStatus) int {
		return cmp.Or(strings.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Attempt, b.Attempt), strings.Compare(a.Kind, b.Kind))
	})
	return list
}

// Load returns the number of running requests, of waiting requests and of free slots.
func (e *Engine) Load() (running, waiting, free int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, _ := e.usage()
	running = len(e.streams)
	if e.prefillRunning {
		running++
	}
	return running, len(e.prefillQueue), max(0, e.config.Slots-slots)
}

// Models returns the loaded models, sorted, and the role.
func (e *Engine) Models() (models []string, role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelList(), e.role
}

// modelList returns the loaded models, sorted. The caller must hold e.mu.
func (e *Engine) modelList() []string {
	list := make([]string, 0, len(e.models))
	for model := range e.models {
		list = append(list, model)
	}
	slices.Sort(list)
	return list
}

// Idle reports whether the engine has no active work.
func (e *Engine) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.activeWork) == 0
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Slots, s.Waiting, s.Streams = e.config.Slots, len(e.prefillQueue), len(e.streams)
	s.SlotsInUse, s.KVBytesHeld = e.usage()
	for _, w := range e.activeWork {
		if w.kind == workReserve {
			s.Reserved++
		}
	}
	for _, st := range e.streams {
		if st.attached == nil {
			s.Detached++
		}
	}
	s.OrderFences = slices.Clone(s.OrderFences)
	s.Models, s.Role = e.modelList(), e.role
	return s
}

// countStart counts the start of new work if the engine is leaving. The caller must hold e.mu.
func (e *Engine) countStart() {
	since := e.config.SinceLeaving().Milliseconds()
	if since <= 0 {
		return
	}
	e.stats.StartedLeaving++
	e.stats.LatestStartLeavingMs = max(e.stats.LatestStartLeavingMs, since)
}

// prefillTime returns the time to process a number of uncached prompt tokens.
func (e *Engine) prefillTime(tokens int) time.Duration {
	return time.Duration(math.Round(float64(tokens) / float64(e.config.PrefillRate) * float64(time.Second)))
}

// Run advances the decodes and publishes load events until the context is done.
func (e *Engine) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.runDecode(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(loadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				running, waiting, free := e.Load()
				e.events.publish(event{Kind: "load", Running: &running, Waiting: &waiting, FreeSlots: &free})
			}
		}
	})
	return group.Wait()
}
