package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["2"] = drainedRunner }

// drainedRunner plays a runner that drains, is acknowledged, goes on serving for some seconds, and is then cut off from the core
// for 5 s, not from the frontends. The other two runners of its service are silent for a second in that time. It checks that no
// request reaches the draining runner later than drain_ms after the acknowledgement.
func drainedRunner(p *play) int {
	for i := range 3 {
		p.runners = append(p.runners, p.newRunner(fmt.Sprintf("i-desk%d", i+1), deskService, "", 40+i, 6, 15*time.Millisecond))
	}
	if !p.configure(document(route("r-unsafe", unsafePath, "unsafe", deskService, 800, 100, 1, false) + "," +
		route("r-safe", safePath, "safe", deskService, 800, 100, 2, false))) {
		return notRun
	}
	var group sync.WaitGroup
	for n := range 72 {
		group.Add(1)
		go func() {
			defer group.Done()
			p.repeat(n, 800*time.Millisecond, func(c *client, id string, i int) {
				method, path := http.MethodPost, unsafePath
				if n%7 < 2 {
					method, path = http.MethodGet, safePath
				}
				p.seen.add(c.do(method, path+"2f", id, "", 1500*time.Millisecond, 0))
			})
		}()
	}
	time.Sleep(5 * time.Second)
	leaving := p.runners[2]
	leaving.draining.Store(true)
	for !leaving.announce() {
		time.Sleep(50 * time.Millisecond)
	}
	acknowledged := time.Now()
	p.record.line("a machine has acknowledged that %s is draining", leaving.id)
	at := func(d time.Duration) { time.Sleep(time.Until(acknowledged.Add(d))) }
	at(1050 * time.Millisecond)
	if p.trouble {
		leaving.noControl.Store(true)
		p.record.line("%s is cut off from the core", leaving.id)
	}
	at(5100 * time.Millisecond)
	for _, r := range p.runners[:2] {
		r.silentUntil.Store(time.Now().Add(time.Second).UnixNano())
	}
	p.record.line("%s and %s are silent for a second", p.runners[0].id, p.runners[1].id)
	at(6050 * time.Millisecond)
	leaving.noControl.Store(false)
	p.record.line("the cut is over")
	at(10 * time.Second)
	leaving.tell(http.MethodDelete, nil, 0)
	leaving.stop()
	p.record.line("%s has ended", leaving.id)
	at(12 * time.Second)
	close(p.quit)
	group.Wait()
	late := 0
	for _, a := range leaving.list() {
		if d := a.at.Sub(acknowledged); d > drain {
			late++
			p.record.line("request %s reached %s from %s %d ms after the acknowledgement; drain_ms is %d", a.id, leaving.id, a.from, d.Milliseconds(), drain.Milliseconds())
		}
	}
	p.record.line("requests: %d; at the draining runner later than drain_ms: %d", len(p.seen.list()), late)
	if late > 0 {
		return broken
	}
	return held
}
