// Package demo starts a fleet and sends one request of each kind to it.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
)

const callTimeout = 15 * time.Second

// Options configure the demo.
type Options struct {
	Bin, Dir string
	// Network is N in the addresses 127.0.N.x.
	Network int
	// Example is the file with the configuration that the fleet starts with.
	Example string
	// Hold keeps the fleet running until the context is done.
	Hold bool
	Out  io.Writer
}

// Run starts a fleet, sends the requests, prints the response to each and stops the fleet.
func Run(ctx context.Context, o Options) (err error) {
	d := fleet.Quetzaltenango()
	s := &session{out: o.Out, client: load.NewClient()}
	defer s.client.CloseIdleConnections()
	s.printf("starting 3 control members, 4 entries and %d stand-ins of %s; logs in %s\n", len(d.Standins), d.Name, o.Dir)
	startedAt := time.Now()
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: o.Bin, Dir: o.Dir, Network: o.Network, Example: o.Example, Deployment: d, DrainDelay: 200 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() {
		stopErr := f.Stop()
		if err == nil {
			err = stopErr
		}
		if err == nil {
			s.printf("stopped cleanly\n")
		}
	}()
	s.printf("ready after %.1f s\n\n", time.Since(startedAt).Seconds())
	if err := s.requests(ctx, f, d); err != nil {
		return err
	}
	if o.Hold {
		s.printCommands(f, d)
		<-ctx.Done()
		s.printf("stopping\n")
	}
	return s.err
}

type session struct {
	out    io.Writer
	client *http.Client
	err    error
}

// printf writes to the output and stores the first write error.
func (s *session) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(s.out, format, args...); err != nil && s.err == nil {
		s.err = eris.Wrap(err, "print")
	}
}

func (s *session) requests(ctx context.Context, f *fleet.Fleet, d fleet.Deployment) error {
	booking := load.Call{
		Kind: load.Booking, Customer: d.Large, Path: d.NonIdempotent, Body: `{"order":"slippers-4711","pairs":120}`, IdempotencyKey: "demo-4711",
	}
	repeat := booking
	steps := []struct {
		title  string
		entry  int
		call   load.Call
		replay bool
	}{
		{"streamed chat", 0, load.Call{
			Kind: load.Chat, Customer: d.Small, Model: d.Models[0], Prompt: "Summarize the cutting order for 120 pairs of felt slippers. len=24", MaxTokens: 64,
		}, false},
		{"idempotent look-up", 1, load.Call{Kind: load.LookUp, Customer: d.Large, Path: d.Idempotent + "/felt-grade-3"}, false},
		{"non-idempotent dispatch confirmation", 2, booking, false},
		{"the same with the same Idempotency-Key at another entry", 3, repeat, true},
		{"open notice without a key", 0, load.Call{Kind: load.LookUp, Path: d.Open + "/today"}, false},
	}
	for _, step := range steps {
		step.call.Key, step.call.URL, step.call.Timeout = f.Keys[step.call.Customer], f.EntryURL(step.entry%f.Entries()), callTimeout
		r := load.Do(ctx, s.client, step.call)
		s.printf("%s\n  caller %s at %s\n  status %d, upstream %s, replayed %v, first token after %v, %d tokens, answer %s\n  %s\n\n",
			step.title, callerName(step.call), step.call.URL, r.Status, r.Upstream, r.Replayed, r.FirstToken.Round(100*time.Microsecond), r.Tokens, r.Verdict, strings.TrimSpace(r.Text))
		if r.Verdict != load.Complete || r.Replayed != step.replay {
			return eris.Errorf("%s: got verdict %s, replayed %v, error %v; want a whole answer, replayed %v", step.title, r.Verdict, r.Replayed, r.Err, step.replay)
		}
	}
	executions, err := s.executions(ctx, f, d, booking)
	if err != nil {
		return err
	}
	s.printf("the dispatch confirmation was executed %d time(s) over all service runners\n", executions)
	if executions != 1 {
		return eris.Errorf("the dispatch confirmation was executed %d times, want 1", executions)
	}
	secrets, err := f.SecretsSeen(ctx)
	if err != nil {
		return err
	}
	s.printf("secrets that reached an upstream: %d\n", secrets)
	if secrets != 0 {
		return eris.Errorf("%d secrets reached an upstream, want none", secrets)
	}
	return nil
}

func callerName(c load.Call) string {
	if c.Customer == "" {
		return "without a key"
	}
	return c.Customer
}

// executions returns how often the services executed the call, over all of them.
func (s *session) executions(ctx context.Context, f *fleet.Fleet, d fleet.Deployment, call load.Call) (int, error) {
	total := 0
	for _, standin := range d.Standins {
		if standin.Kind != "service" {
			continue
		}
		counts, err := f.Executions(ctx, standin.ID)
		if err != nil {
			return 0, err
		}
		for _, execution := range counts {
			if execution.Path == call.Path {
				total += execution.Count
			}
		}
	}
	return total, nil
}

// printCommands prints commands to try against the running fleet.
func (s *session) printCommands(f *fleet.Fleet, d fleet.Deployment) {
	body, err := json.Marshal(map[string]any{
		"model": d.Models[0], "stream": true, "max_tokens": 32,
		"messages": []any{map[string]string{"role": "user", "content": "Summarize the order. len=20"}},
	})
	if err != nil {
		s.err = eris.Wrap(err, "encode the example")
		return
	}
	key, entry := f.Keys[d.Large], f.EntryURL(0)
	s.printf("The fleet runs until you interrupt it. Commands to try:\n")
	for _, line := range []string{
		fmt.Sprintf("curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'", entry, key, body),
		fmt.Sprintf("curl -i %s%s/felt-grade-3 -H 'Authorization: Bearer %s'", entry, d.Idempotent, key),
		fmt.Sprintf("curl -i %s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: try-1' -d '{\"order\":\"1\"}'", entry, d.NonIdempotent, key),
		fmt.Sprintf("curl -i %s%s/today", entry, d.Open),
		f.CtlCommand("status"),
		f.CtlCommand("upstream drain " + d.Standins[len(d.Standins)-1].ID),
		f.CtlCommand("history"),
		fmt.Sprintf("curl %s/fault -d '{\"kind\":\"slow\",\"factor\":5}'", f.StandinURL(d.Standins[1].ID)),
		fmt.Sprintf("curl %s/stats", f.StandinURL(d.Standins[1].ID)),
		fmt.Sprintf("kill -9 %d   # entry-2", f.Process("entry-2").PID()),
	} {
		s.printf("  %s\n", line)
	}
}
