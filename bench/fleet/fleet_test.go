package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/standin/upstream"
)

// pidDirVariable is the environment variable with the directory in which each program started by a test creates a file
// named after its process ID.
const pidDirVariable = "FLEET_TEST_PIDS"

// TestMain lets the test binary stand in for the program under whose name it was started.
func TestMain(m *testing.M) {
	program := filepath.Base(os.Args[0])
	if !strings.HasPrefix(program, "azuredoor") {
		os.Exit(m.Run())
	}
	if err := runFakeProgram(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runFakeProgram(program string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	pid := strconv.Itoa(os.Getpid())
	if program != "azuredoorctl" {
		if err := os.WriteFile(filepath.Join(os.Getenv(pidDirVariable), pid), nil, 0o600); err != nil {
			return err
		}
	}
	switch program {
	case "azuredoorctl":
		return runFakeCtl()
	case "azuredoor-standin":
		return upstream.Run(ctx, upstream.Parse(os.Args[1:]))
	}
	switch flagValue("-policy") {
	case "fails":
		return errors.New("this entry does not start")
	case "hangs":
		<-ctx.Done()
		return nil
	}
	var group errgroup.Group
	for _, name := range []string{"-listen", "-admin-listen", "-upstream-listen"} {
		if address := flagValue(name); address != "" {
			server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			group.Go(server.ListenAndServe)
			context.AfterFunc(ctx, func() { server.Close() })
		}
	}
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func flagValue(name string) string {
	if i := slices.Index(os.Args, name); i >= 0 {
		return os.Args[i+1]
	}
	return ""
}

func runFakeCtl() error {
	switch {
	case slices.Contains(os.Args, "member") && slices.Contains(os.Args, "list"):
		fmt.Println(`{"members":[{"name":"control-1"},{"name":"control-2"},{"name":"control-3"}]}`)
	case slices.Contains(os.Args, "key"):
		fmt.Printf(`{"key":"ad-%s"}`, flagValue("-customer"))
	case slices.Contains(os.Args, "upstream"):
		fmt.Printf(`{"upstreams":[%s]}`, strings.TrimSuffix(strings.Repeat(`{"state":"active"},`, 12), ","))
	}
	return nil
}

// testOptions returns options for a fleet whose programs are symbolic links to the test binary.
func testOptions(t *testing.T) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	bin, pids := t.TempDir(), t.TempDir()
	t.Setenv(pidDirVariable, pids)
	for _, program := range []string{"azuredoor-control", "azuredoor-entry", "azuredoor-standin", "azuredoorctl"} {
		if err := os.Symlink(self, filepath.Join(bin, program)); err != nil {
			t.Fatal(err)
		}
	}
	return Options{Bin: bin, Dir: t.TempDir(), Network: -1, Example: "unused", Deployment: Lautoka()}
}

// countProcesses returns the number of programs that were started and the number of those that are still running.
func countProcesses(t *testing.T) (started, running int) {
	t.Helper()
	files, err := os.ReadDir(os.Getenv(pidDirVariable))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		pid, err := strconv.Atoi(file.Name())
		if err != nil {
			t.Fatal(err)
		}
		if syscall.Kill(pid, 0) == nil {
			running++
		}
	}
	return len(files), running
}

// TestStartAndStop guards against processes that keep running after their fleet has stopped, and against two fleets on
// the same addresses.
func TestStartAndStop(t *testing.T) {
	o := testOptions(t)
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	// Start does not wait for the weight store, which may not have written its PID file yet.
	var started, running int
	for began := time.Now(); started != 20 && time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		started, running = countProcesses(t)
	}
	if started != 20 || running != 20 {
		t.Errorf("got %d programs started and %d running, want 20 of both", started, running)
	}
	if got := f.Keys["vitogo-nets"]; got != "ad-vitogo-nets" {
		t.Errorf("got key %q for vitogo-nets, want ad-vitogo-nets", got)
	}
	o.Dir = t.TempDir()
	other, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if other.EntryURL(0) == f.EntryURL(0) {
		t.Errorf("both fleets use %s", f.EntryURL(0))
	}
	if err := f.Process("entry-2").Kill(); err != nil {
		t.Error(err)
	}
	if err := errors.Join(f.Stop(), other.Stop()); err != nil {
		t.Errorf("stop: %v", err)
	}
	if _, running := countProcesses(t); running != 0 {
		t.Errorf("got %d programs running after Stop, want 0", running)
	}
}

// TestFailedStartStopsProcesses guards against processes that keep running after a program fails to start or the driver
// is interrupted during the start of the fleet.
func TestFailedStartStopsProcesses(t *testing.T) {
	o := testOptions(t)
	o.Policy = "fails"
	if _, err := Start(t.Context(), o); err == nil || !strings.Contains(err.Error(), "this entry does not start") {
		t.Errorf("got error %v, want an error with the end of the entry's log", err)
	}
	if started, running := countProcesses(t); started == 0 || running != 0 {
		t.Errorf("after the failure: got %d of %d programs running, want 0 of at least 1", running, started)
	}
	o = testOptions(t)
	o.Policy = "hangs"
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if f, err := Start(ctx, o); err == nil {
		t.Errorf("got a fleet in %s after the interrupt, want an error", f.Dir)
	}
	if started, running := countProcesses(t); started == 0 || running != 0 {
		t.Errorf("after the interrupt: got %d of %d programs running, want 0 of at least 1", running, started)
	}
}
