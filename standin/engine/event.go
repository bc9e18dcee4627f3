package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"azuredoor.example/standin/fault"
)

const (
	loadInterval      = 200 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	writeTimeout      = 5 * time.Second
	subscriberBuffer  = 4096
)

// event is one event of GET /v1/events.
type event struct {
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases by one per event; a gap means lost events.
	Sequence uint64 `json:"sequence"`
	// Kind is "cacheAdd", "cacheEvict" or "load".
	Kind   string   `json:"kind"`
	Model  string   `json:"model,omitempty"`
	Hashes []uint64 `json:"hashes,omitempty"`
	// Running, Waiting, FreeSlots and LagMs are set only for the kind "load".
	Running   *int  `json:"running,omitempty"`
	Waiting   *int  `json:"waiting,omitempty"`
	FreeSlots *int  `json:"freeSlots,omitempty"`
	LagMs     int64 `json:"lagMs,omitempty"`
}

// publisher delivers events to subscribers, with the configured delay and loss.
type publisher struct {
	config Config

	mu          sync.Mutex
	sequence    uint64
	subscribers map[chan []byte]bool
}

func newPublisher(config Config) *publisher {
	return &publisher{config: config, subscribers: map[chan []byte]bool{}}
}

// publish assigns the next sequence number to an event and schedules the delivery, unless the event is to be lost.
func (p *publisher) publish(e event) {
	p.mu.Lock()
	p.sequence++
	e.Sequence, e.Incarnation = p.sequence, p.config.Incarnation
	p.mu.Unlock()
	lag := p.config.EventLag
	if e.Kind == "load" {
		lag = p.config.LoadLag
		e.LagMs = lag.Milliseconds()
	}
	if p.config.EventLoss > 0 && rand.Float64() < p.config.EventLoss {
		return
	}
	if _, lost := p.config.Faults.Trigger(fault.LostEvents); lost {
		return
	}
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	time.AfterFunc(lag, func() { p.deliver(data) })
}

// deliver sends an event to all subscribers. Subscribers whose buffer is full miss the event.
func (p *publisher) deliver(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for subscriber := range p.subscribers {
		select {
		case subscriber <- data:
		default:
		}
	}
}

func (p *publisher) publishCacheChange(added, evicted []cacheKey) {
	for kind, keys := range map[string][]cacheKey{"cacheAdd": added, "cacheEvict": evicted} {
		byModel := map[string][]uint64{}
		for _, key := range keys {
			byModel[key.model] = append(byModel[key.model], key.hash)
		}
		for model, hashes := range byModel {
			p.publish(event{Kind: kind, Model: model, Hashes: hashes})
		}
	}
}

func (p *publisher) serve(w http.ResponseWriter, r *http.Request) {
	subscriber := make(chan []byte, subscriberBuffer)
	p.mu.Lock()
	p.subscribers[subscriber] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subscribers, subscriber)
	}()
	out := newSSE(w, p.config.Faults)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-r.Context().Done():
			return
		case data := <-subscriber:
			err = out.data(r.Context(), data)
		case <-ticker.C:
			err = out.comment(r.Context(), "heartbeat")
		}
		if err != nil {
			return
		}
	}
}
