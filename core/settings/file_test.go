package settings

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestSettingsFile guards against settings in a file that are ignored or that override flags.
func TestSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("# comment\nname one\nseeds 10.0.0.1:1,10.0.0.2:1\nunknown x\nfirst true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var name, seeds string
	var first bool
	s := New("test", "TEST_FILE")
	s.Text(&name, "name", "", "name")
	s.Text(&seeds, "seeds", "", "seeds")
	s.BoolVar(&first, "first", false, "first")
	s.File(path)
	if err := s.Parse([]string{"-name=two"}); err != nil {
		t.Fatal(err)
	}
	if name != "two" || seeds != "10.0.0.1:1,10.0.0.2:1" || !first {
		t.Errorf("got %q, %q, %v, want the flag's name and the file's seeds and first", name, seeds, first)
	}
}

// TestAddresses guards against processes that call each other on a wrong port.
func TestAddresses(t *testing.T) {
	if got, err := FirstPort("7500,7515"); err != nil || got != "7500" {
		t.Errorf("got %q, %v, want 7500", got, err)
	}
	for _, invalid := range []string{"", "x,1", "0,1", "70000,70001"} {
		if _, err := FirstPort(invalid); err == nil {
			t.Errorf("ports %q: got no error", invalid)
		}
	}
	got := WithPort("10.0.0.1:8367, 10.0.0.2:8367,junk", "7500")
	if want := []string{"10.0.0.1:7500", "10.0.0.2:7500"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestWatch guards against changes of the settings file that are not detected, with and without a signal.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("a 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	changed := make(chan struct{}, 8)
	var group errgroup.Group
	group.Go(func() error { return Watch(ctx, path, 5*time.Millisecond, func() { changed <- struct{}{} }) })
	waitForChange := func(what string) {
		t.Helper()
		select {
		case <-changed:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: change not detected within 5 s", what)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if err := os.WriteFile(path, []byte("a 22\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	waitForChange("change of the file without a signal")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitForChange("signal")
	cancel()
	if err := group.Wait(); err != nil {
		t.Errorf("got %v, want no error at the end", err)
	}
}
