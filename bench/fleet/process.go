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
	stopTimeout  = 15 * time.Second
	logTailBytes = 2000
)

// Process is one started program.
type Process struct {
	Name string
	// LogFile is the path of the file that receives standard output and standard error of all runs of the program.
	LogFile string

	runner *Runner
	path   string
	args   []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Runner starts processes from one thread that lives as long as the runner. The kernel sends the parent-death signal
// to a process when the thread that started the process ends, not when the parent process ends.
type Runner struct {
	requests chan func()
	group    errgroup.Group
}

// NewRunner returns a runner without processes. The caller must call Close when the runner is no longer needed.
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

// Close ends the thread of the runner. All processes must have exited.
func (r *Runner) Close() error {
	close(r.requests)
	return r.group.Wait()
}

// Start starts a program in its own process group, so that an interrupt from the terminal reaches only the driver,
// which then stops the program itself.
func (r *Runner) Start(name, logFile, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: logFile, runner: r, path: path, args: args}
	return p, p.Start()
}

// Start starts the program, or starts it again after it has exited.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log file")
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

// PID returns the process ID of the current or most recent run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It does nothing if the process has exited.
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

// Kill sends SIGKILL to the process and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Stop sends SIGTERM to the process and waits until the process has exited. It returns an error if the process exited
// with an error, or did not exit within stopTimeout and was killed.
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
		return eris.Errorf("%s did not exit within %v of SIGTERM and was killed", p.Name, stopTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return eris.Wrapf(p.err, "%s exited", p.Name)
}

// exitError returns an error for a process that exited unexpectedly, with the end of its log.
func (p *Process) exitError() error {
	p.mu.Lock()
	err := p.err
	p.mu.Unlock()
	data, readErr := os.ReadFile(p.LogFile)
	if readErr != nil {
		data = []byte(readErr.Error())
	}
	return eris.Errorf("%s exited unexpectedly (%v); end of %s:\n%s", p.Name, err, p.LogFile, data[max(0, len(data)-logTailBytes):])
}

func (f *Fleet) logFile(name string) string { return filepath.Join(f.Dir, name+".log") }

func (f *Fleet) program(name string) string { return filepath.Join(f.options.Bin, name) }

// launch starts a program and registers the process in the fleet under a name.
func (f *Fleet) launch(name, program string, args ...string) error {
	p, err := f.runner.Start(name, f.logFile(name), f.program(program), args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	f.startOrder = append(f.startOrder, name)
	return nil
}

// stopAll stops the named processes concurrently.
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
