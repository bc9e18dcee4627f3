package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["5"] = foreignHeartbeats }

// foreignHeartbeats plays another writer on the machines of a service's runners. It registers the address of each runner under an
// identifier of its own, with heartbeats that lack two fields and so name no runner to use. It checks that each kind of request
// is served at least a quarter as often as all requests.
func foreignHeartbeats(p *play) int {
	for i := range 3 {
		p.runners = append(p.runners, p.newRunner(fmt.Sprintf("i-look%d", i+1), lookService, "", 30+i, 6, 15*time.Millisecond))
	}
	for i := range 3 {
		p.runners = append(p.runners, p.newRunner(fmt.Sprintf("i-desk%d", i+1), deskService, "", 40+i, 6, 15*time.Millisecond))
	}
	if !p.configure(document(route("r-unsafe", unsafePath, "unsafe", deskService, 800, 100, 1, false) + "," +
		route("r-safe", safePath, "safe", lookService, 800, 100, 2, false))) {
		return notRun
	}
	var group sync.WaitGroup
	for n := range 40 {
		group.Add(1)
		go func() {
			defer group.Done()
			p.repeat(n, 600*time.Millisecond, func(c *client, id string, _ int) {
				method, path := http.MethodPost, unsafePath
				if n%10 == 0 {
					method, path = http.MethodGet, safePath
				}
				p.seen.add(c.do(method, path+"2f", id, "", 1500*time.Millisecond, 0))
			})
		}()
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		for i, r := range p.runners[:3] {
			group.Add(1)
			go func() {
				defer group.Done()
				p.writeForeign(fmt.Sprintf("x-%d", i+1), r)
			}()
		}
	}
	time.Sleep(45 * time.Second)
	close(p.quit)
	group.Wait()
	return p.checkStarved()
}

// writeForeign sends heartbeats without version and cold_remaining_ms for the address of a runner.
func (p *play) writeForeign(id string, r *runner) {
	born := time.Now().UnixMilli()
	for sequence := 1; !p.stopped(); sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "slots": 6, "state": "ready", "sequence": sequence, "born": born,
		})
		status, _, err := call(http.MethodPut, p.control(sequence%cores), "/-/instances/"+id, body, time.Second)
		if sequence <= 3 {
			p.record.line("another writer sends PUT /-/instances/%s %s: status %d, %v", id, body, status, err)
		}
		time.Sleep(heartbeatInterval)
	}
}
