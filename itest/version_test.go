package itest

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"azuredoor.example/platform/standin"
)

// streamEvents is the number of events of a stream, more than any test reads.
const streamEvents = 200

// openStream sends a call for a stream.
func (p *platform) openStream(id string, interrupted *standin.Interrupted) (*http.Response, string, error) {
	return standin.OpenStream(p.t.Context(), p.entryAddress(), standin.Call{ID: id, Path: standin.StreamPath, Key: platformKey, Events: streamEvents}, interrupted)
}

// TestStreamsKeepTheirSoftwareVersionWhenAllEntriesAreKilled guards against streams that their callers take up again, and that go on at
// another software version, because no entry is left that knows where they began.
func TestStreamsKeepTheirSoftwareVersionWhenAllEntriesAreKilled(t *testing.T) {
	t.Parallel()
	for name, oldLeaves := range map[string]bool{"both versions serve": false, "the old version has left": true} {
		t.Run(name, func(t *testing.T) {
			p := startPlatform(t)
			leave := p.startVersion("v1")
			p.startVersion("v2")
			const streams = 24
			began := map[string]string{}
			byVersion := map[string]int{}
			p.await("streams at both versions", func() bool {
				id := fmt.Sprint("first-", len(began))
				response, version, err := p.openStream(id, nil)
				if err != nil || response.StatusCode != 200 {
					return false
				}
				t.Cleanup(func() { response.Body.Close() })
				reader := bufio.NewReader(response.Body)
				for range 6 {
					if _, err := reader.ReadString('\n'); err != nil {
						return false
					}
				}
				began[id] = version
				byVersion[version]++
				return len(began) >= streams && len(byVersion) == 2
			})
			p.restartEntry(func() {
				if oldLeaves {
					leave()
				}
			})
			p.await("the entry to serve", func() bool {
				response, _, err := p.openStream("probe", nil)
				if err != nil {
					return false
				}
				response.Body.Close()
				return response.StatusCode == 200
			})
			for id, version := range began {
				response, got, err := p.openStream("second-"+id, &standin.Interrupted{ID: id, LastEvent: 2})
				if err != nil {
					t.Errorf("%s: got %v, want a response", id, err)
					continue
				}
				if response.StatusCode == 200 && got != version {
					t.Errorf("%s: began at %s and goes on at %s", id, version, got)
				}
				if want := !oldLeaves || version == "v2"; want != (response.StatusCode == 200) {
					text, _ := io.ReadAll(response.Body)
					t.Errorf("%s of %s: got status %d %s, want it to go on: %v", id, version, response.StatusCode, text, want)
				}
				response.Body.Close()
			}
		})
	}
}
