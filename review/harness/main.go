package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// play holds what all cases use.
type play struct {
	*fleet
	trouble bool
	runners []*runner
	seen    outcomes
	quit    chan struct{}
}

// cases holds the cases by their number. Each is registered by its own file.
var cases = map[string]func(p *play) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(playCase func(p *play) int, root, path string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return notRun
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	r := &record{out: file, began: time.Now()}
	f, err := newFleet(root, r)
	if err != nil {
		r.line("cannot run: %v", err)
		return notRun
	}
	p := &play{fleet: f, trouble: os.Getenv("TROUBLE") != "0", quit: make(chan struct{})}
	defer f.stop()
	// A case that is stopped from outside ends its processes too.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.stop()
		os.Exit(notRun)
	}()
	r.line("disruption: %v; processes in %s", p.trouble, f.dir)
	if err := f.start(); err != nil {
		r.line("cannot run: %v", err)
		return notRun
	}
	code := playCase(p)
	r.line("exit code %d", code)
	return code
}

// configure starts the runners and puts a configuration, and waits until the frontends are ready.
func (p *play) configure(document []byte) bool {
	ok := false
	for end := time.Now().Add(20 * time.Second); !ok && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, address := range p.controls() {
			if status, _, err := call(http.MethodPut, address, "/-/configuration", document, time.Second); err == nil && status == 200 {
				ok = true
				break
			}
		}
	}
	if !ok {
		p.record.line("cannot run: no configuration was acknowledged")
		return false
	}
	for _, r := range p.runners {
		if err := r.start(); err != nil {
			p.record.line("cannot run: %v", err)
			return false
		}
	}
	if !p.waitReady(20 * time.Second) {
		p.record.line("cannot run: the frontends did not become ready")
		return false
	}
	p.record.line("the configuration is acknowledged and all frontends are ready")
	time.Sleep(2 * time.Second)
	return true
}

func route(name, prefix, kind, service string, timeout, target, attempts int, resume bool) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":%q,"max_attempts":%d,"public":false,"session_affinity":%v,"allow_resume":%v,"gap_target_ms":300}`,
		name, host, prefix, kind, timeout, target, service, attempts, kind == "streaming", resume)
}

const (
	modelService = "huvo11a"
	deskService  = "wuno96b"
	lookService  = "kalo33c"
	streamPath   = "/pufi791/"
	unsafePath   = "/pule252/"
	safePath     = "/bira480/"
)

// document returns a configuration in the form of the users' pages.
func document(routes string) []byte {
	return []byte(`{"version":7,"routes":[` + routes + `],"services":[` +
		`{"name":"` + modelService + `","health_path":"/health","connection_limit":360,"protocol":"h1","transport_security":false,"engine":{"slots":64,"cache_capacity_tokens":107085,"kv_token_bytes":163840,"link_mbps":7200000.0,"moves":true,"backups":true,"stride":72,"most":12,"handle_lifetime_s":0.5,"stage_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}},` +
		`{"name":"` + deskService + `","health_path":"/health","connection_limit":100,"protocol":"h1","transport_security":false},` +
		`{"name":"` + lookService + `","health_path":"/health","connection_limit":100,"protocol":"h1","transport_security":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
		`"tenants":[{"name":"` + tenant + `","access_keys":["` + accessKey + `"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":1000000,"burst":1000000}]}`)
}

// stopped reports whether the clients shall stop.
func (p *play) stopped() bool {
	select {
	case <-p.quit:
		return true
	default:
		return false
	}
}

// repeat lets one client send requests, one each interval at most, until the case ends.
func (p *play) repeat(n int, interval time.Duration, send func(c *client, id string, n int)) {
	c := &client{address: p.frontend(n % fronts)}
	defer c.close()
	// Clients begin at different times.
	time.Sleep(time.Duration(n) * interval / 37 % interval)
	for i := 0; !p.stopped(); i++ {
		began := time.Now()
		send(c, strconv.FormatInt(int64(n+1)<<32|int64(i)|1<<60, 16), i)
		if rest := interval - time.Since(began); rest > 0 {
			time.Sleep(rest)
		}
	}
}
