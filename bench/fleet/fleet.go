// Package fleet starts and stops a complete azuredoor fleet of real processes on addresses 127.0.N.x.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Ports of the programs. All fleets use the same ports; each fleet has its own addresses.
const (
	controlPort  = 7101
	adminPort    = 7102
	callerPort   = 8080
	peerPort     = 7201
	upstreamPort = 8081
	monitorPort  = 8082
	standinPort  = 9000
	// lockPort is bound while a fleet uses its network, so that another fleet chooses a different network.
	lockPort = 7999

	firstRouterHost  = 11
	firstStandinHost = 21
	maxNetwork       = 250
)

// Values of the entries' -policy setting.
const (
	PolicyFull  = "full"
	PolicyNaive = "naive"
)

// Options configure a Fleet.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Dir is the directory for secrets, data and logs. Start creates the directory.
	Dir string
	// Network is N in the addresses 127.0.N.x; -1 chooses the first free network from 1.
	Network int
	// Example is the path of the configuration document to apply.
	Example string
	// Controls is the number of control members, 3 by default; Entries is the number of entries, 4 by default.
	Controls, Entries int
	// Policy defaults to PolicyFull.
	Policy     string
	DrainDelay time.Duration
	Deployment Deployment
	// StandinArgs are additional arguments for each engine.
	StandinArgs []string
	// AdvertiseControl returns the address that a control member advertises for a listening address, for example the
	// address of a proxy; nil means the listening address itself.
	AdvertiseControl func(listen string) (string, error)
	// AdvertiseUpstream returns the address that an upstream advertises for its listening address; nil means the
	// listening address itself.
	AdvertiseUpstream func(listen string) (string, error)
	// ReadyTimeout defaults to 30 s.
	ReadyTimeout time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Dir string
	// Keys maps each customer to an access key.
	Keys map[string]string

	options Options
	network int
	lock    net.Listener
	// advertised maps the listening addresses of control members to their advertised addresses.
	advertised map[string]string
	runner     *Runner
	processes  map[string]*Process
	// startOrder lists the names of the processes in the order of their start.
	startOrder []string
	token      string
}

// Start starts a fleet, applies the example and creates an access key for each customer. If a step fails, Start stops
// the processes that are already running.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Controls == 0 {
		o.Controls = 3
	}
	if o.Entries == 0 {
		o.Entries = 4
	}
	if o.Policy == "" {
		o.Policy = PolicyFull
	}
	if o.ReadyTimeout == 0 {
		o.ReadyTimeout = 30 * time.Second
	}
	f := &Fleet{Dir: o.Dir, Keys: map[string]string{}, options: o, processes: map[string]*Process{}, advertised: map[string]string{}}
	if err := f.lockNetwork(); err != nil {
		return nil, err
	}
	f.runner = NewRunner()
	startCtx, cancel := context.WithTimeout(ctx, o.ReadyTimeout)
	defer cancel()
	if err := f.start(startCtx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) lockNetwork() error {
	first, last := f.options.Network, f.options.Network
	if first < 0 {
		first, last = 1, maxNetwork
	}
	for f.network = first; f.network <= last; f.network++ {
		lock, err := net.Listen("tcp", f.Address(1, lockPort))
		if err == nil {
			f.lock = lock
			return nil
		}
	}
	return eris.Errorf("no free network from 127.0.%d.x to 127.0.%d.x: other fleets hold them", first, last)
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.writeSecrets(); err != nil {
		return err
	}
	if err := f.startControls(ctx); err != nil {
		return err
	}
	if _, err := f.Ctl(ctx, "apply", "-file", f.options.Example); err != nil {
		return err
	}
	if err := f.createKeys(ctx); err != nil {
		return err
	}
	for i := range f.options.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	if err := f.startStandins(); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

// Address returns the address of a port on a host of the fleet's network.
func (f *Fleet) Address(host, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", f.network, host, port)
}

// EntryURL returns the base URL for callers of entry i, counted from 0.
func (f *Fleet) EntryURL(i int) string {
	return "http://" + f.Address(firstRouterHost+i, callerPort)
}

// MonitorURL returns the base URL of the monitoring address of entry i, counted from 0.
func (f *Fleet) MonitorURL(i int) string {
	return "http://" + f.Address(firstRouterHost+i, monitorPort)
}

// Entries returns the number of entries.
func (f *Fleet) Entries() int { return f.options.Entries }

// Process returns the named process. A name is "control-1", "entry-1" and so on, or the ID of a stand-in.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// StandinURL returns the base URL of the stand-in with an ID, or "" if no stand-in has the ID.
func (f *Fleet) StandinURL(id string) string {
	for i, s := range f.options.Deployment.Standins {
		if s.ID == id {
			return "http://" + f.Address(firstStandinHost+i, standinPort)
		}
	}
	return ""
}

// Standins returns the stand-ins of the fleet.
func (f *Fleet) Standins() []Standin { return f.options.Deployment.Standins }

func (f *Fleet) secretFile(name string) string { return filepath.Join(f.Dir, "secrets", name) }

func (f *Fleet) writeSecrets() error {
	if err := os.MkdirAll(filepath.Join(f.Dir, "secrets"), 0o700); err != nil {
		return eris.Wrap(err, "create the secrets directory")
	}
	secrets := map[string]string{}
	for _, name := range []string{"fleet-secret", "join-token", "operator-token"} {
		var buffer [24]byte
		if _, err := rand.Read(buffer[:]); err != nil {
			return eris.Wrap(err, "generate a secret")
		}
		secrets[name] = hex.EncodeToString(buffer[:])
	}
	f.token = secrets["operator-token"]
	secrets["operator-tokens"] = "bench write " + f.token
	for name, secret := range secrets {
		if err := os.WriteFile(f.secretFile(name), []byte(secret+"\n"), 0o600); err != nil {
			return eris.Wrap(err, "write a secret file")
		}
	}
	return nil
}

func (f *Fleet) failureDomain(i int) string {
	domains := f.options.Deployment.FailureDomains
	return domains[i%len(domains)]
}

// adminAddresses returns the admin addresses of the control members.
func (f *Fleet) adminAddresses() []string {
	list := make([]string, f.options.Controls)
	for i := range list {
		list[i] = f.Address(firstRouterHost+i, adminPort)
	}
	return list
}

// resolveAdvertised records the advertised addresses of the control members.
func (f *Fleet) resolveAdvertised() error {
	for i := range f.options.Controls {
		for _, port := range []int{controlPort, adminPort} {
			listen := f.Address(firstRouterHost+i, port)
			f.advertised[listen] = listen
			if f.options.AdvertiseControl == nil {
				continue
			}
			address, err := f.options.AdvertiseControl(listen)
			if err != nil {
				return err
			}
			f.advertised[listen] = address
		}
	}
	return nil
}

// startControls starts the control members, bootstraps the group with the first member and adds the others.
func (f *Fleet) startControls(ctx context.Context) error {
	if err := f.resolveAdvertised(); err != nil {
		return err
	}
	for i := range f.options.Controls {
		name := "control-" + strconv.Itoa(i+1)
		listen, admin := f.Address(firstRouterHost+i, controlPort), f.Address(firstRouterHost+i, adminPort)
		err := f.launch(name, "azuredoor-control", "-name", name, "-listen", listen, "-admin-listen", admin,
			"-advertise", f.advertised[listen], "-admin-advertise", f.advertised[admin],
			"-data-dir", filepath.Join(f.Dir, name), "-failure-domain", f.failureDomain(i), "-region", f.options.Deployment.Region,
			"-fleet-secret-file", f.secretFile("fleet-secret"), "-operator-tokens-file", f.secretFile("operator-tokens"))
		if err != nil {
			return err
		}
	}
	for _, address := range f.adminAddresses() {
		if err := f.pollUntil(ctx, address+" accepts connections", func() error { return dial(ctx, address) }); err != nil {
			return err
		}
	}
	if _, err := f.ctlAt(ctx, f.adminAddresses()[0], "bootstrap"); err != nil {
		return err
	}
	for i := 1; i < f.options.Controls; i++ {
		name := "control-" + strconv.Itoa(i+1)
		// The group accepts one membership change at a time, so adding a member may need several attempts.
		err := f.pollUntil(ctx, name+" is a member", func() error {
			return f.addMember(ctx, i, name)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addMember(ctx context.Context, i int, name string) error {
	list, err := f.ctlAt(ctx, f.adminAddresses()[0], "member", "list", "-json")
	if err != nil {
		return err
	}
	if strings.Contains(list, strconv.Quote(name)) {
		return nil
	}
	_, err = f.ctlAt(ctx, f.adminAddresses()[0], "member", "add", "-name", name, "-address", f.advertised[f.Address(firstRouterHost+i, controlPort)],
		"-admin-address", f.advertised[f.Address(firstRouterHost+i, adminPort)], "-failure-domain", f.failureDomain(i))
	return err
}

func (f *Fleet) startEntry(i int) error {
	controls := make([]string, f.options.Controls)
	for c := range controls {
		controls[c] = f.advertised[f.Address(firstRouterHost+c, controlPort)]
	}
	name, host := "entry-"+strconv.Itoa(i+1), firstRouterHost+i
	return f.launch(name, "azuredoor-entry", "-name", name, "-listen", f.Address(host, callerPort),
		"-peer-listen", f.Address(host, peerPort), "-upstream-listen", f.Address(host, upstreamPort), "-monitor-listen", f.Address(host, monitorPort),
		"-control", strings.Join(controls, ","), "-failure-domain", f.failureDomain(i), "-region", f.options.Deployment.Region,
		"-fleet-secret-file", f.secretFile("fleet-secret"), "-join-token-file", f.secretFile("join-token"),
		"-policy", f.options.Policy, "-drain-delay", f.options.DrainDelay.String())
}

func (f *Fleet) createKeys(ctx context.Context) error {
	for _, customer := range f.options.Deployment.Customers {
		out, err := f.Ctl(ctx, "key", "create", "-customer", customer, "-json")
		if err != nil {
			return err
		}
		var created struct{ Key string }
		if err := json.Unmarshal([]byte(out), &created); err != nil {
			return eris.Wrap(err, "decode the created key")
		}
		f.Keys[customer] = created.Key
	}
	return nil
}

// Stop stops the entries, then the stand-ins, then the control members. It returns the first error of each
// group.
func (f *Fleet) Stop() error {
	var entries, standins, controls []string
	for _, name := range f.startOrder {
		switch {
		case strings.HasPrefix(name, "entry-"):
			entries = append(entries, name)
		case strings.HasPrefix(name, "control-"):
			controls = append(controls, name)
		default:
			standins = append(standins, name)
		}
	}
	err := errors.Join(f.stopAll(entries), f.stopAll(standins), f.stopAll(controls), f.runner.Close())
	return errors.Join(err, f.lock.Close())
}

// Exited returns the names of the processes that have exited.
func (f *Fleet) Exited() []string {
	var list []string
	for _, name := range f.startOrder {
		if !f.processes[name].Running() {
			list = append(list, name)
		}
	}
	return list
}

// EachStandin runs a function concurrently for all stand-ins and returns the first error.
func (f *Fleet) EachStandin(do func(s Standin) error) error {
	var group errgroup.Group
	for _, s := range f.Standins() {
		group.Go(func() error { return do(s) })
	}
	return group.Wait()
}
