// Command azuredoor-control runs a member of the control group.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/control/admin"
	"azuredoor.example/control/disk"
	"azuredoor.example/control/server"
	"azuredoor.example/core/event"
	"azuredoor.example/core/settings"
)

const (
	program = "azuredoor-control"
	// exitDataDamaged is the exit code for a damaged data directory.
	exitDataDamaged = 3
)

type options struct {
	name, listen, adminListen, advertise, adminAdvertise, dataDir, failureDomain, region string
	secretFile, tokensFile, logLevel                                                     string
	snapshotEntries                                                                      int
	logText                                                                              bool
}

func main() {
	var o options
	set := settings.New(program, "AZUREDOOR_CONTROL")
	set.Text(&o.name, "name", "", "name of this member, unique in the group")
	set.Address(&o.listen, "listen", "", "IP:port for entries and other members; they connect to this address")
	set.Address(&o.adminListen, "admin-listen", "", "IP:port for operators and other members' forwarded calls")
	set.Address(&o.advertise, "advertise", "", "IP:port at which entries and other members reach -listen, if another")
	set.Address(&o.adminAdvertise, "admin-advertise", "", "IP:port at which other members reach -admin-listen, if another")
	set.Text(&o.dataDir, "data-dir", "", "folder for the log and snapshots, on a disk of its own member")
	set.Text(&o.failureDomain, "failure-domain", "", "failure domain of this VM")
	set.Text(&o.region, "region", "", "region of this VM")
	set.Text(&o.secretFile, "fleet-secret-file", "", "file with the secret of the fleet's processes")
	set.Text(&o.tokensFile, "operator-tokens-file", "", "file with lines \"name role token\", role read or write")
	set.Count(&o.snapshotEntries, "snapshot-entries", 10_000, 10, 10_000_000, "log entries between snapshots")
	set.Choice(&o.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "least severe level that is logged: debug, info, warn or error")
	set.BoolVar(&o.logText, "log-text", false, "log lines for people in place of JSON")
	set.Required("name", "listen", "admin-listen", "data-dir", "failure-domain", "region", "fleet-secret-file", "operator-tokens-file")
	var secret string
	var tokens *admin.Tokens
	set.ParseOrExit(os.Args[1:], func() (err error) {
		secret, err = settings.Secret("fleet-secret-file", o.secretFile)
		return err
	}, func() error {
		for name, address := range map[string]string{"listen": o.listen, "admin-listen": o.adminListen} {
			if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host).IsUnspecified() {
				return fmt.Errorf("setting -%s=%q: want an IP number that other members can connect to", name, address)
			}
		}
		return nil
	}, func() (err error) {
		if tokens, err = admin.ReadTokens(o.tokensFile); err != nil {
			return fmt.Errorf("setting -operator-tokens-file: %w", err)
		}
		return nil
	})
	if err := run(o, secret, tokens); err != nil {
		if damage := (*disk.DamageError)(nil); errors.As(err, &damage) {
			fmt.Fprintf(os.Stderr, "%s: %v: remove the folder %s, start again and run azuredoorctl member replace\n", program, err, o.dataDir)
			os.Exit(exitDataDamaged)
		}
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

func run(o options, secret string, tokens *admin.Tokens) error {
	events := event.New(event.Options{Level: o.logLevel, Text: o.logText, Program: program, Name: o.name})
	storage, stored, identity, err := disk.Open(disk.Options{Dir: o.dataDir, Events: events})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return fmt.Errorf("setting -listen=%q: %w", o.listen, err)
	}
	adminListener, err := net.Listen("tcp", o.adminListen)
	if err != nil {
		return fmt.Errorf("setting -admin-listen=%q: %w", o.adminListen, err)
	}
	process, err := server.Open(server.Config{
		ID: identity.Member, Name: o.name, Listener: listener, AdminListener: adminListener, Advertise: o.advertise, AdminAdvertise: o.adminAdvertise, FailureDomain: o.failureDomain,
		Secret: secret, Tokens: tokens, SnapshotEntries: uint64(o.snapshotEntries), Storage: storage, Stored: stored, Events: events,
	})
	if err != nil {
		return err
	}
	events.Write(event.ControlStarted, func(e *log.Entry) {
		e.Str("id", fmt.Sprintf("%x", identity.Member)).Str("listen", o.listen).Str("region", o.region).Str("failureDomain", o.failureDomain)
	})
	if err := serve(process); err != nil {
		return err
	}
	if err := storage.Close(); err != nil {
		return err
	}
	events.Write(event.ControlStopped, nil)
	return nil
}

// serve runs the process until SIGTERM or SIGINT; a second signal exits immediately with code 1.
func serve(process *server.Server) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		return process.Run(ctx)
	})
	group.Go(func() error {
		for range 2 {
			select {
			case <-signals:
			case <-done:
				return nil
			}
			if ctx.Err() != nil {
				os.Exit(1)
			}
			stop()
		}
		return nil
	})
	return group.Wait()
}
