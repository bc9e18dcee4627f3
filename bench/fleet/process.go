package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	stopTimeout = 15 * time.Second
	logTail     = 2000
)

// Process is one started program.
type Process struct {
	Name string
	// LogFile holds the standard output and error of all its runs.
	LogFile string

	runner *Runner
	path   string
	args   []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Runner starts processes from one thread that lives as long as the runner, because the kernel ends a
// process with a parent-death signal when the thread that started it ends.
type Runner struct {
	requests chan func()
	group    errgroup.Group
}

// NewRunner returns a runner without processes. Close must follow.
func NewRunner() *Runner {
	r := &Runner{requests: make(chan func())}
	r.group.Go(func() error {
		runtime.LockOSThread()
		for request := range r.requests {
			request()
		}
		return nil
	})
	return r
}

// Close ends the thread; all processes must have ended.
func (r *Runner) Close() error {
	close(r.requests)
	return r.group.Wait()
}

// Start starts a program in its own process group, so that an interrupt of the terminal reaches only the
// driver, which then ends the program itself.
func (r *Runner) Start(name, logFile, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: logFile, runner: r, path: path, args: args}
	return p, p.Start()
}

// Start runs the program again after it ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	p.runner.requests <- func() { started <- cmd.Start() }
	err = <-started
	if closeErr := log.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.err = cmd, done, nil
	p.mu.Unlock()
	p.runner.group.Go(func() error {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
		return nil
	})
	return nil
}

// PID returns the ID of the running or last process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running says whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process; a process that has ended gets none.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if !p.Running() {
		return nil
	}
	if err := cmd.Process.Signal(signal); err != nil && p.Running() {
		return eris.Wrapf(err, "signal %s", p.Name)
	}
	return nil
}

// Kill ends the process at once.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Stop asks the process to end and waits. It returns an error when the process had to be killed or ended
// with an error.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.Done():
	case <-timer.C:
		if err := p.Kill(); err != nil {
			return err
		}
		return eris.Errorf("%s did not end within %v and was killed", p.Name, stopTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return eris.Wrapf(p.err, "%s ended", p.Name)
}

// failure describes a process that ended too early, with the end of its log.
func (p *Process) failure() error {
	p.mu.Lock()
	err := p.err
	p.mu.Unlock()
	data, readErr := os.ReadFile(p.LogFile)
	if readErr != nil {
		data = []byte(readErr.Error())
	}
	return eris.Errorf("%s ended early (%v); end of %s:\n%s", p.Name, err, p.LogFile, data[max(0, len(data)-logTail):])
}

func (f *Fleet) logFile(name string) string { return filepath.Join(f.Dir, name+".log") }

func (f *Fleet) program(name string) string { return filepath.Join(f.options.Bin, name) }

// launch starts a program of the fleet and records it under its name.
func (f *Fleet) launch(name, program string, args ...string) error {
	p, err := f.runner.Start(name, f.logFile(name), f.program(program), args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	f.order = append(f.order, name)
	return nil
}

// stopAll stops the named processes together.
func (f *Fleet) stopAll(names []string) error {
	errs := make([]error, len(names))
	var group errgroup.Group
	for i, name := range names {
		group.Go(func() error {
			errs[i] = f.processes[name].Stop()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("stop: %w", err)
		}
	}
	return nil
}
