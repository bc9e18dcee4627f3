package engine

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"azuredoor.example/standin/answer"
	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/journal"
	"azuredoor.example/standin/link"
)

// queuedPrefill is a prefill that waits for the engine.
type queuedPrefill struct {
	priority int
	ready    chan struct{}
}

// acquirePrefill waits until no other prefill is running; the engine runs one prefill at a time.
func (e *Engine) acquirePrefill(ctx context.Context, priority int) error {
	e.mu.Lock()
	if !e.prefillRunning {
		e.prefillRunning = true
		e.mu.Unlock()
		return nil
	}
	own := &queuedPrefill{priority: priority, ready: make(chan struct{})}
	e.prefillQueue = append(e.prefillQueue, own)
	e.mu.Unlock()
	select {
	case <-own.ready:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	i := slices.Index(e.prefillQueue, own)
	if i >= 0 {
		e.prefillQueue = slices.Delete(e.prefillQueue, i, i+1)
	}
	e.mu.Unlock()
	if i < 0 { // releasePrefill had already passed the engine to this prefill
		e.releasePrefill()
	}
	return ctx.Err()
}

// releasePrefill passes the engine to the queued prefill of the highest priority, in order of arrival among equals.
func (e *Engine) releasePrefill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.prefillQueue) == 0 {
		e.prefillRunning = false
		return
	}
	best := 0
	for i, w := range e.prefillQueue {
		if w.priority > e.prefillQueue[best].priority {
			best = i
		}
	}
	close(e.prefillQueue[best].ready)
	e.prefillQueue = slices.Delete(e.prefillQueue, best, best+1)
}

type prefillRequest struct {
	RequestID string    `json:"requestId"`
	Attempt   int       `json:"attempt"`
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	StartAt   int       `json:"startAt"`
	Generated generated `json:"generated"`
	Priority  int       `json:"priority"`
}

// generated is the number of output tokens that follow the prompt. Its JSON form is the text, a list of the tokens or
// the number.
type generated int

// UnmarshalJSON implements json.Unmarshaler.
func (g *generated) UnmarshalJSON(data []byte) error {
	text := strings.TrimSpace(string(data))
	switch {
	case strings.HasPrefix(text, `"`):
		unquoted, err := strconv.Unquote(text)
		if err != nil {
			unquoted = text
		}
		*g = generated(len(strings.Fields(unquoted)))
	case strings.HasPrefix(text, "["):
		*g = generated(strings.Count(text, `"`) / 2)
	default:
		n, _ := strconv.Atoi(text)
		*g = generated(n)
	}
	return nil
}

type prefillResponse struct {
	Handle       string `json:"handle"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	KVBytes      int64  `json:"kvBytes"`
	ExpiresInMs  int64  `json:"expiresInMs"`
}

// prefill processes a prompt and keeps the result for a transfer.
func (e *Engine) prefill(ctx context.Context, r prefillRequest) (prefillResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	words := strings.Fields(r.Prompt)
	w := &work{
		kind: workPrefill, requestID: r.RequestID, attempt: r.Attempt, model: r.Model, priority: r.Priority,
		tokens: len(words) + max(int(r.Generated), r.StartAt), stop: cancel,
	}
	e.mu.Lock()
	e.addWork(w)
	e.countStart()
	e.stats.Prefills++
	e.mu.Unlock()
	if err := e.acquirePrefill(ctx, r.Priority); err != nil {
		return prefillResponse{}, e.abandon(w, err)
	}
	cached, err := e.process(ctx, w, answer.BlockHashes(words))
	e.releasePrefill()
	if err != nil {
		return prefillResponse{}, e.abandon(w, err)
	}
	if !e.offerTransfer(w) {
		return prefillResponse{}, context.Canceled
	}
	if err := e.config.Faults.Wait(ctx, fault.Freeze); err != nil {
		return prefillResponse{}, err
	}
	return prefillResponse{
		Handle: e.handle(w.id), PromptTokens: w.tokens, CachedTokens: cached,
		KVBytes: int64(w.tokens) * e.config.KVBytesPerToken, ExpiresInMs: e.config.PrefillTTL.Milliseconds(),
	}, nil
}

// abandon removes the work after a failure and returns err.
func (e *Engine) abandon(w *work, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeWork(w)
	return err
}

// process simulates the processing of the uncached tokens and returns the number of cached tokens.
func (e *Engine) process(ctx context.Context, w *work, hashes []uint64) (int, error) {
	line := journal.Line{Event: "start", Work: string(workPrefill), RequestID: w.requestID, Attempt: w.attempt}
	if err := e.config.Log.Write(line); err != nil {
		return 0, err
	}
	e.mu.Lock()
	cached := min(e.cache.cachedPrefix(w.model, hashes)*answer.BlockTokens, w.tokens-1)
	w.kvBytes = int64(w.tokens) * e.config.KVBytesPerToken
	e.mu.Unlock()
	uncached := w.tokens - cached
	began, duration := time.Now(), e.config.Faults.Scale(e.prefillTime(uncached))
	err := link.Sleep(ctx, duration)
	done := uncached
	if err != nil && duration > 0 {
		done = min(uncached, int(float64(uncached)*float64(time.Since(began))/float64(duration)))
	}
	e.mu.Lock()
	e.stats.PrefillTokens += int64(done)
	e.stats.CachedTokens += int64(cached)
	var added, evicted []cacheKey
	if err == nil {
		added, evicted = e.cache.add(w.model, hashes)
	}
	e.mu.Unlock()
	e.events.publishCacheChange(added, evicted)
	line.Event, line.Tokens, line.Cancelled = "end", done, err != nil
	if logErr := e.config.Log.Write(line); logErr != nil {
		return 0, logErr
	}
	return cached, err
}

// offerTransfer makes the result available for a transfer. It returns false if the request has been cancelled.
func (e *Engine) offerTransfer(w *work) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activeWork[w.id] != w {
		return false
	}
	w.kind, w.stop = workTransfer, nil
	w.timer = time.AfterFunc(e.config.PrefillTTL, func() { e.expire(w) })
	return true
}

// expire removes a result that no engine has pulled within PrefillTTL, and counts its tokens as wasted.
func (e *Engine) expire(w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.pulls > 0 || !e.removeWork(w) {
		return
	}
	e.stats.WastedPrefillTokens += int64(w.tokens)
}

// handle returns the handle of a prefill result. The incarnation makes handles unique across restarts.
func (e *Engine) handle(id uint64) string { return fmt.Sprintf("%x-%d", e.config.Incarnation, id) }
