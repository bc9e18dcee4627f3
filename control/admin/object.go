package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// writeCallTimeout bounds a write, including its retries.
const writeCallTimeout = 5 * time.Second

type objectBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

func newObjectBody(object *fleetpb.Object) objectBody {
	return objectBody{Kind: object.Kind, Name: object.Name, Version: object.Version, Spec: object.Spec}
}

var objectKinds = []string{config.KindProfile, config.KindCustomer, config.KindKey, config.KindRoute, config.KindPool, config.KindFleet}

func (s *Server) objects(c *call) {
	kind := string(c.QueryArgs().Peek("kind"))
	if kind != "" && !slices.Contains(objectKinds, kind) {
		c.fail(invalid("kind", fmt.Sprintf("got %q, want one of %q", kind, objectKinds)))
		return
	}
	list, revision := s.config.State.Objects(kind)
	bodies := make([]objectBody, 0, len(list))
	for _, object := range list {
		bodies = append(bodies, newObjectBody(object))
	}
	c.respond(fasthttp.StatusOK, map[string]any{"revision": revision, "objects": bodies})
}

func (s *Server) object(c *call) {
	object, _ := s.config.State.Object(c.path[1], c.path[2])
	if object == nil {
		c.fail(notFound(fmt.Sprintf("%s/%s does not exist", c.path[1], c.path[2])))
		return
	}
	c.respond(fasthttp.StatusOK, newObjectBody(object))
}

type changeBody struct {
	Kind          string          `json:"kind"`
	Name          string          `json:"name"`
	ExpectVersion *uint64         `json:"expectVersion,omitempty"`
	Delete        bool            `json:"delete,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

type changeResultBody struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is 0 for a deleted object.
	Version uint64 `json:"version"`
}

func (s *Server) apply(c *call) {
	id, ok := c.requestID()
	if !ok {
		return
	}
	var body struct {
		Changes []changeBody `json:"changes"`
	}
	if !c.decode(&body) {
		return
	}
	command := &fleetpb.ApplyConfig{RequestId: id, Operator: c.operator.Name}
	for i, change := range body.Changes {
		// Compacting lets a retry whose document differs only in white space count as the same request.
		var spec bytes.Buffer
		if !change.Delete {
			if len(change.Spec) == 0 {
				c.fail(invalid(fmt.Sprintf("changes[%d].spec", i), "is missing"))
				return
			}
			if err := json.Compact(&spec, change.Spec); err != nil {
				c.fail(invalid(fmt.Sprintf("changes[%d].spec", i), err.Error()))
				return
			}
		}
		objectChange := &fleetpb.ObjectChange{Kind: change.Kind, Name: change.Name, Delete: change.Delete, AnyVersion: change.ExpectVersion == nil, Spec: spec.Bytes()}
		if change.ExpectVersion != nil {
			objectChange.ExpectVersion = *change.ExpectVersion
		}
		command.Changes = append(command.Changes, objectChange)
	}
	result := s.write(c, &fleetpb.Command{Body: &fleetpb.Command_ApplyConfig{ApplyConfig: command}})
	if result == nil {
		return
	}
	changed := make([]changeResultBody, 0, len(body.Changes))
	for _, change := range body.Changes {
		version := result.Revision
		if change.Delete {
			version = 0
		}
		changed = append(changed, changeResultBody{Kind: change.Kind, Name: change.Name, Version: version})
	}
	c.respond(fasthttp.StatusOK, map[string]any{"revision": result.Revision, "changes": changed})
}

// write proposes an operator's command to the group. On failure, write sends the error response and returns nil.
func (s *Server) write(c *call, command *fleetpb.Command) *fleetpb.Result {
	ctx, cancel := context.WithTimeout(context.Background(), writeCallTimeout)
	defer cancel()
	result, err := s.config.Group.Propose(ctx, command)
	if err != nil {
		c.failWithError(err)
		return nil
	}
	if result.Code != fleetpb.ResultCode_RESULT_CODE_OK {
		c.failWithResult(result)
		return nil
	}
	s.config.Events.Write(event.ControlConfigChanged, func(e *log.Entry) {
		e.Str("operator", c.operator.Name).Uint64("revision", result.Revision)
	})
	return result
}

type recordBody struct {
	Revision  uint64       `json:"revision"`
	Operator  string       `json:"operator"`
	RequestID string       `json:"requestId"`
	Time      time.Time    `json:"time"`
	Changes   []changeBody `json:"changes,omitempty"`
	Summary   string       `json:"summary,omitempty"`
}

const maxHistoryRecords = 1000

func (s *Server) history(c *call) {
	after, ok := c.queryNumber("after", 0, 1<<62)
	if !ok {
		return
	}
	limit, ok := c.queryNumber("limit", 100, maxHistoryRecords)
	if !ok {
		return
	}
	records := []recordBody{}
	for _, record := range s.config.State.History(after, int(limit)) {
		body := recordBody{
			Revision: record.Revision, Operator: record.Operator, RequestID: record.RequestId,
			Time: time.UnixMilli(record.TimeMillis).UTC(), Summary: record.Summary,
		}
		for _, change := range record.Changes {
			recorded := changeBody{Kind: change.Kind, Name: change.Name, Delete: change.Delete, Spec: change.Spec}
			if !change.AnyVersion {
				recorded.ExpectVersion = &change.ExpectVersion
			}
			body.Changes = append(body.Changes, recorded)
		}
		records = append(records, body)
	}
	c.respond(fasthttp.StatusOK, map[string]any{"records": records})
}

// queryNumber returns the number in a query argument, or defaultValue if the argument is missing. For an invalid
// number, queryNumber sends the error response and returns false.
func (c *call) queryNumber(name string, defaultValue, maximum uint64) (uint64, bool) {
	text := string(c.QueryArgs().Peek(name))
	if text == "" {
		return defaultValue, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > maximum {
		c.fail(invalid(name, fmt.Sprintf("got %q, want a whole number up to %d", text, maximum)))
		return 0, false
	}
	return n, true
}
