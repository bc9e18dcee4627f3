package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/standin/journal"
	"azuredoor.example/standin/link"
)

var errStaleFence = errors.New("the fencing token of the order is lower than the highest one seen")

const orderTimeout = 10 * time.Minute

type orderRequest struct {
	OrderID string `json:"orderId"`
	Fence   uint64 `json:"fence"`
	// Kind is "load", "unload" or "setRole".
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// modelName returns the name under which the model is announced: the model, followed by @version and +adapter if set.
func (o orderRequest) modelName() string {
	name := o.Model
	if o.Version != "" {
		name += "@" + o.Version
	}
	if o.Adapter != "" {
		name += "+" + o.Adapter
	}
	return name
}

// acceptOrder applies an order. For an order to load a model, acceptOrder returns a function that loads the model, for
// other orders nil. A repeated order with the same ID has no effect.
func (e *Engine) acceptOrder(o orderRequest) (load func(context.Context) error, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && o.Fence < e.fence {
		e.stats.OrdersRefused++
		return nil, errStaleFence
	}
	e.fence = max(e.fence, o.Fence)
	if o.OrderID != "" && e.orders[o.OrderID] {
		return nil, nil
	}
	e.orders[o.OrderID] = true
	e.stats.OrdersAccepted++
	e.stats.OrderFences = append(e.stats.OrderFences, o.Fence)
	if err := e.config.Log.Write(journal.Line{Event: "start", Work: "order", RequestID: o.OrderID, Path: o.Kind, Fence: o.Fence}); err != nil {
		return nil, err
	}
	switch o.Kind {
	case "load":
		return func(ctx context.Context) error { return e.loadModel(ctx, o) }, nil
	case "unload":
		delete(e.models, o.modelName())
		e.cache.removeModel(o.modelName())
	case "setRole":
		e.role = o.Role
	}
	return nil, nil
}

// loadModel fetches the weights of a model and then marks the model as loaded.
func (e *Engine) loadModel(ctx context.Context, o orderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := e.fetchWeights(ctx, o); err != nil {
		return err
	}
	e.mu.Lock()
	e.models[o.modelName()] = true
	e.mu.Unlock()
	return e.config.Log.Write(journal.Line{Event: "end", Work: "order", RequestID: o.OrderID, Path: o.Kind, Fence: o.Fence})
}

func (e *Engine) fetchWeights(ctx context.Context, o orderRequest) error {
	if e.config.WeightStore == "" {
		return link.Sleep(ctx, e.config.Faults.Scale(e.config.LoadTime))
	}
	version := o.Version
	if version == "" {
		version = "current"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.config.WeightStore+"/weights/"+o.Model+"/"+version, nil)
	if err != nil {
		return eris.Wrap(err, "build the request to the weight store")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "send the request to the weight store")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("the weight store responded with %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return eris.Wrap(err, "read the weights")
}
