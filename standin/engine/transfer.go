package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/standin/fault"
)

const (
	// transferScale is the number of simulated KV cache bytes per byte sent on the connection.
	transferScale = 1024
	kvBytesHeader = "Azuredoor-Kv-Bytes"
)

var errKVGone = errors.New("the prefill result no longer exists")

// serveTransfer serves GET /v1/kv/{handle}: it sends a prefill result over the rate-limited link.
func (e *Engine) serveTransfer(w http.ResponseWriter, r *http.Request) {
	result := e.beginPull(r.PathValue("handle"))
	if result == nil {
		refuse(w, http.StatusGone, "kvGone")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	w.Header().Set(kvBytesHeader, strconv.FormatInt(result.kvBytes, 10))
	w.WriteHeader(http.StatusOK)
	err := e.sendResult(ctx, w, result)
	e.endPull(result, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// beginPull returns the prefill result with a handle and stops its expiry. It returns nil if there is no such result.
func (e *Engine) beginPull(handle string) *work {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.activeWork {
		if w.kind == workTransfer && e.handle(w.id) == handle {
			w.pulls++
			w.timer.Stop()
			return w
		}
	}
	return nil
}

// endPull removes a result after a complete transfer. After a broken transfer, endPull restarts the time to live, so
// that another engine can pull the result.
func (e *Engine) endPull(w *work, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.pulls--
	if complete {
		w.pulled = true
		if e.removeWork(w) {
			e.stats.Transfers++
		}
		return
	}
	if w.pulls == 0 && e.activeWork[w.id] == w {
		w.timer.Reset(e.config.PrefillTTL)
	}
}

// sendResult writes one byte for each transferScale bytes of the result.
func (e *Engine) sendResult(ctx context.Context, w http.ResponseWriter, result *work) error {
	controller := http.NewResponseController(w)
	if err := controller.Flush(); err != nil {
		return eris.Wrap(err, "send the transfer header")
	}
	written := int64(0)
	for sent := int64(0); sent < result.kvBytes; {
		if err := e.checkSendable(ctx, result); err != nil {
			return err
		}
		portion := max(transferScale, e.link.Portion(result.kvBytes-sent))
		portion = min(portion, result.kvBytes-sent)
		if err := e.link.Take(ctx, portion); err != nil {
			return eris.Wrap(err, "wait for the link")
		}
		sent += portion
		due := (sent + transferScale - 1) / transferScale
		if err := controller.SetWriteDeadline(time.Now().Add(e.config.PullTimeout)); err != nil {
			return eris.Wrap(err, "set the write deadline")
		}
		if _, err := w.Write(make([]byte, due-written)); err != nil {
			return eris.Wrap(err, "write the KV cache")
		}
		if err := controller.Flush(); err != nil {
			return eris.Wrap(err, "flush the KV cache")
		}
		written = due
	}
	return nil
}

// checkSendable waits while a fault stalls the transfer. It returns an error if the stall lasts longer than PullTimeout
// or if the result has been cancelled.
func (e *Engine) checkSendable(ctx context.Context, result *work) error {
	ctx, cancel := context.WithTimeout(ctx, e.config.PullTimeout)
	defer cancel()
	for _, kind := range []string{fault.TransferStall, fault.Freeze} {
		if err := e.config.Faults.Wait(ctx, kind); err != nil {
			return eris.Wrap(err, "transfer stalled")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activeWork[result.id] != result {
		return errKVGone
	}
	return nil
}

type kvSource struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}

// pull is an incoming transfer in progress.
type pull struct {
	body    io.ReadCloser
	cancel  context.CancelFunc
	timeout *time.Timer
	bytes   int64
}

// openPull requests a result from its prefill engine. It returns errKVGone if the result no longer exists.
func (e *Engine) openPull(ctx context.Context, source kvSource) (*pull, error) {
	if source.Address == e.config.Address {
		return e.pullLocal(source.Handle)
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &pull{cancel: cancel, timeout: time.AfterFunc(e.config.PullTimeout, cancel)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address+"/v1/kv/"+source.Handle, nil)
	if err != nil {
		p.close()
		return nil, eris.Wrap(err, "build the transfer request")
	}
	response, err := e.client.Do(request) //nolint:bodyclose // the pull closes it
	if err != nil {
		p.close()
		return nil, eris.Wrap(err, "request the KV cache")
	}
	p.body = response.Body
	if response.StatusCode != http.StatusOK {
		p.close()
		return nil, errKVGone
	}
	p.bytes, err = strconv.ParseInt(response.Header.Get(kvBytesHeader), 10, 64)
	if err != nil {
		p.close()
		return nil, eris.Wrap(err, "read the transfer header")
	}
	return p, nil
}

// pullLocal takes a result that this engine holds itself, without a transfer.
func (e *Engine) pullLocal(handle string) (*pull, error) {
	w := e.beginPull(handle)
	if w == nil {
		return nil, errKVGone
	}
	e.endPull(w, true)
	return &pull{bytes: w.kvBytes}, nil
}

func (p *pull) close() {
	if p.timeout != nil {
		p.timeout.Stop()
	}
	if p.body != nil {
		_ = p.body.Close()
	}
	if p.cancel != nil {
		p.cancel()
	}
}

// receive reads the result at the rate of this engine's link. It closes p.
func (e *Engine) receive(ctx context.Context, p *pull) error {
	defer p.close()
	if p.body == nil {
		return nil
	}
	remaining := p.bytes
	buffered := bufio.NewReaderSize(p.body, 32<<10)
	buffer := make([]byte, 1024)
	for {
		n, err := buffered.Read(buffer)
		if n > 0 {
			p.timeout.Reset(e.config.PullTimeout)
			bytes := min(remaining, int64(n)*transferScale)
			remaining -= bytes
			if err := e.link.Take(ctx, bytes); err != nil {
				return eris.Wrap(err, "wait for the link")
			}
		}
		switch {
		case errors.Is(err, io.EOF) && remaining == 0:
			return nil
		case err != nil:
			return eris.Wrap(err, "read the KV cache")
		}
	}
}
