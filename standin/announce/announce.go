// Package announce sends the announcements of a stand-in to the entries.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	interval    = 500 * time.Millisecond
	callTimeout = 400 * time.Millisecond
)

// Load is the load that an upstream reports in its announcements.
type Load struct {
	Running   int `json:"running"`
	Waiting   int `json:"waiting"`
	FreeSlots int `json:"freeSlots"`
}

// Announcement is the body of POST /upstream/v1/announce.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation is the start time in milliseconds since 1970.
	Incarnation   uint64   `json:"incarnation"`
	Address       string   `json:"address"`
	Kind          string   `json:"kind"`
	Role          string   `json:"role,omitempty"`
	Pool          string   `json:"pool"`
	Models        []string `json:"models,omitempty"`
	FailureDomain string   `json:"failureDomain"`
	Slots         int      `json:"slots"`
	ChecksFencing bool     `json:"checksFencing"`
	// State is "ready" or "leaving".
	State    string `json:"state"`
	Sequence uint64 `json:"sequence"`
	Load     Load   `json:"load"`
}

// Announcer sends announcements.
type Announcer struct {
	// Entries are base URLs of entries, such as "http://127.0.0.11:8081".
	Entries []string
	Token   string
	// Current returns the announcement to send, without its sequence number; ok is false while none is to be sent.
	Current func() (a Announcement, ok bool)

	client   http.Client
	next     int
	sequence uint64
}

// Run sends an announcement every 500 ms, and immediately after each receive from wake, until the context is done.
func (a *Announcer) Run(ctx context.Context, wake <-chan struct{}) error {
	if len(a.Entries) == 0 {
		return nil
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-ticker.C:
		}
	}
}

// announce sends one announcement, trying the entries in turn until one of them accepts it. If none does, Run retries at
// the next tick.
func (a *Announcer) announce(ctx context.Context) {
	current, ok := a.Current()
	if !ok {
		return
	}
	a.sequence++
	current.Sequence = a.sequence
	body, err := json.Marshal(current)
	if err != nil {
		return
	}
	for range a.Entries {
		a.next = (a.next + 1) % len(a.Entries)
		if err := a.send(ctx, a.Entries[a.next], body); err == nil || ctx.Err() != nil {
			return
		}
	}
}

func (a *Announcer) send(ctx context.Context, entry string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/upstream/v1/announce", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build the announcement")
	}
	request.Header.Set("Authorization", "Bearer "+a.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "send the announcement")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return eris.Wrap(err, "read the response to the announcement")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("entry %s responded to the announcement with %s", entry, response.Status)
	}
	return nil
}
