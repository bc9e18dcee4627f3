package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const freeze = 6 * time.Second

func init() { cases["4"] = lateWithdrawal }

// lateWithdrawal plays runners that leave and start again under their identifiers while a machine of the core is frozen. The call
// with which a runner leaves goes to the frozen machine first, and to the next one after a second. The frozen machine carries its
// copy out when it wakes. It checks that each kind of request is served at least a quarter as often as all requests.
func lateWithdrawal(p *play) int {
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
			p.repeat(n, 600*time.Millisecond, func(c *client, id string, i int) {
				method, path := http.MethodPost, unsafePath
				if n%10 == 0 {
					method, path = http.MethodGet, safePath
				}
				p.seen.add(c.do(method, path+"2f", id, "", 1500*time.Millisecond, 0))
			})
		}()
	}
	time.Sleep(2 * time.Second)
	p.replaceInPlace(3, 0, 1)
	time.Sleep(5 * time.Second)
	p.replaceInPlace(4, 2)
	time.Sleep(82 * time.Second)
	close(p.quit)
	group.Wait()
	return p.checkStarved()
}

// replaceInPlace freezes a machine of the core and lets the given runners leave and start again meanwhile, a second apart.
func (p *play) replaceInPlace(core int, runners ...int) {
	m := p.machine(fmt.Sprintf("core-%d", core+1))
	if p.trouble {
		m.signal(syscall.SIGSTOP)
		p.record.line("%s is frozen", m.name)
	}
	woken := time.Now().Add(freeze)
	var group sync.WaitGroup
	for k, i := range runners {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(200*time.Millisecond + time.Duration(k)*time.Second)
			old := p.runners[i]
			old.draining.Store(true)
			for !old.announce() {
				time.Sleep(50 * time.Millisecond)
			}
			p.record.line("a machine has acknowledged that %s is draining", old.id)
			time.Sleep(drain + 200*time.Millisecond)
			close(old.quit)
			old.tell(http.MethodDelete, nil, core)
			_ = old.server.Close()
			p.record.line("%s has ended", old.id)
			time.Sleep(400 * time.Millisecond)
			next := p.newRunner(old.id, old.service, old.stage, 30+i, 6, old.work)
			p.runners[i] = next
			if err := next.start(); err != nil {
				p.record.line("%s could not start again: %v", old.id, err)
				return
			}
			p.record.line("%s has started again, born %d", next.id, next.born)
		}()
	}
	group.Wait()
	time.Sleep(time.Until(woken))
	if p.trouble {
		m.signal(syscall.SIGCONT)
		p.record.line("%s has woken after %v", m.name, freeze)
	}
}

// checkStarved compares the served share of each kind of request with that of all requests.
func (p *play) checkStarved() int {
	sent, served := map[string]int{}, map[string]int{}
	all, allServed := 0, 0
	for _, o := range p.seen.list() {
		sent[o.path]++
		all++
		if o.complete && o.status == 200 && o.stamped {
			served[o.path]++
			allServed++
		}
	}
	total := float64(allServed) / float64(all)
	p.record.line("all requests: %d of %d served, %.3f", allServed, all, total)
	code := held
	for path, n := range sent {
		share := float64(served[path]) / float64(n)
		p.record.line("requests to %s: %d of %d served, %.3f", path, served[path], n, share)
		if share < total/4 {
			code = broken
		}
	}
	for _, r := range p.runners {
		p.record.line("%s, born %d, ready: %d requests reached it, the last one %.1f s before the end", r.id, r.born, len(r.list()), sinceLast(r))
	}
	return code
}

func sinceLast(r *runner) float64 {
	all := r.list()
	if len(all) == 0 {
		return -1
	}
	return time.Since(all[len(all)-1].at).Seconds()
}
