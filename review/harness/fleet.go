// Command harness starts the platform programs of the repository with stand-ins of runners, clients and the operator, plays one
// case of the review, and checks one rule. It uses the standard library only.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines. Each machine has a loopback address of its own.
const (
	controlPort  = 8367
	frontendPort = 8360
	readyPort    = 8365
	lockPort     = 7999
	runnerPort   = 8080
)

const (
	cores              = 5
	fronts             = 4
	heartbeatInterval  = 1200 * time.Millisecond
	drain              = 2 * time.Second
	connectivityWindow = 3 * time.Second
	restartDelay       = 300 * time.Millisecond
)

var zones = []string{"xela-centro", "salcaja", "olintepeque"}

// fleet holds the processes of a case.
type fleet struct {
	root, dir string
	network   int
	lock      net.Listener
	record    *record
	machines  []*machine
	stopping  bool
	mu        sync.Mutex
	wg        sync.WaitGroup
}

// machine is one process of the system, which is started again when it ends.
type machine struct {
	fleet    *fleet
	name, ip string
	program  string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ends     []time.Time
}

func newFleet(root string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "azuredoor-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: r}
	for f.network = 60; f.network < 250; f.network++ {
		if f.lock, err = net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(0, 1), lockPort)); err == nil {
			return f, nil
		}
	}
	return nil, err
}

func (f *fleet) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, group, n) }

func (f *fleet) control(i int) string { return fmt.Sprintf("%s:%d", f.ip(0, 11+i), controlPort) }

func (f *fleet) controls() []string {
	var all []string
	for i := range cores {
		all = append(all, f.control(i))
	}
	return all
}

func (f *fleet) frontend(i int) string { return fmt.Sprintf("%s:%d", f.ip(0, 51+i), frontendPort) }

func (f *fleet) ready(i int) string { return fmt.Sprintf("%s:%d", f.ip(0, 51+i), readyPort) }

// settings renders deploy/control.conf.tmpl or deploy/entry.conf.tmpl with the values of the small deployment emcq-pantuflas.
func (f *fleet) renderSettings(role string, i int, first bool) string {
	seeds := strings.Join(f.controls()[:3], ",")
	common := "failure-domain " + zones[i%3] + "\nregion occidente\ninternal-ports 7500,7515\nseeds " + seeds + "\n"
	if role == "core" {
		ip := f.ip(0, 11+i)
		return fmt.Sprintf("name core-%d\nip %s\n%slisten %s\nmemory-megabytes 280\nmetrics-listen %s:9464\ndata-dir %s\nfirst-start %v\ntolerated-losses 2\nannounce-every %dms\n",
			i+1, ip, common, f.control(i), ip, filepath.Join(f.dir, fmt.Sprintf("data-%d", i+1)), first, heartbeatInterval.Milliseconds())
	}
	ip := f.ip(0, 51+i)
	return fmt.Sprintf("name frontend-%d\nip %s\n%slisten %s\nready-listen %s\nmetrics-listen %s:9464\nmemory-megabytes %d\norder-pause 3000ms\ngrace 8s\nrevocation 5000ms\nretry-ratio 0.2\nretry-slack 54\nlimit-slack 120000\n",
		i+1, ip, common, f.frontend(i), f.ready(i), ip, []int{189, 189, 244, 244}[i%4])
}

// start starts all machines of the deployment.
func (f *fleet) start() error {
	for i := range cores {
		if err := f.startMachine("core", fmt.Sprintf("core-%d", i+1), "azuredoor-platform-control", i); err != nil {
			return err
		}
	}
	for i := range fronts {
		if err := f.startMachine("frontend", fmt.Sprintf("frontend-%d", i+1), "azuredoor-platform-entry", i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startMachine(role, name, program string, i int) error {
	m := &machine{fleet: f, name: name, program: filepath.Join(f.root, "target", program), settings: filepath.Join(f.dir, name+".conf")}
	if err := os.WriteFile(m.settings, []byte(f.renderSettings(role, i, true)), 0o600); err != nil {
		return err
	}
	f.machines = append(f.machines, m)
	if err := m.launch(); err != nil {
		return err
	}
	// Later starts are no first starts of the system.
	later := f.renderSettings(role, i, false)
	time.AfterFunc(time.Second, func() { _ = os.WriteFile(m.settings, []byte(later), 0o600) })
	return nil
}

func (m *machine) launch() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.program)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.fleet.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "AZUREDOOR_SETTINGS=" + m.settings}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	m.fleet.wg.Add(1)
	go func() {
		defer m.fleet.wg.Done()
		state, _ := cmd.Process.Wait()
		_ = log.Close()
		if m.fleet.isStopping() {
			return
		}
		m.mu.Lock()
		m.ends = append(m.ends, time.Now())
		m.mu.Unlock()
		m.fleet.record.line("process %s ended by itself: %v", m.name, state)
		time.Sleep(restartDelay)
		if !m.fleet.isStopping() {
			_ = m.launch()
		}
	}()
	return nil
}

func (f *fleet) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

func (f *fleet) machine(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// endedAt returns the times at which the process ended by itself.
func (m *machine) endedAt() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Time(nil), m.ends...)
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	f.wg.Wait()
	_ = f.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// waitReady waits until all frontends say that they are ready.
func (f *fleet) waitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for i := range fronts {
			if status, _, err := call(http.MethodGet, f.ready(i), "/-/readiness", nil, time.Second); err == nil && status == 200 {
				n++
			}
		}
		if n == fronts {
			return true
		}
	}
	return false
}

var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call on a new connection.
func call(method, address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := plainClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
