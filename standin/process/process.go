// Package process runs a complete system as separate processes on loopback: the
// stand-in platform, the members of database groups, and daemons with a signed
// bundle. It ends only processes that it started. Package cluster runs such a
// system in one process.
package process

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin process")

// Programs holds the paths of the built programs.
type Programs struct {
	Dragonflypick string
	Standin       string
}

// Build builds the programs of the module at root into dir.
func Build(x context.Context, root, dir string) (Programs, error) {
	c := exec.CommandContext(x, "go", "build", "-o", dir+string(os.PathSeparator), "./cmd/dragonflypick", "./cmd/standin")
	c.Dir = root
	if o, err := c.CombinedOutput(); err != nil {
		return Programs{}, Error.Wrap(&BuildError{Output: string(o), Err: err})
	}
	return ProgramsIn(dir), nil
}

// ProgramsIn returns the paths of the programs in a folder.
func ProgramsIn(dir string) Programs {
	return Programs{Dragonflypick: filepath.Join(dir, "dragonflypick"), Standin: filepath.Join(dir, "standin")}
}

// BuildError reports programs that could not be built.
type BuildError struct {
	Output string
	Err    error
}

func (e *BuildError) Error() string { return "build: " + e.Err.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }

// Process is a process that was started by a System.
type Process struct {
	// Name is unique within a system.
	Name string
	// LogFile is the path of the file that receives the process's standard output and
	// error.
	LogFile string
	cmd     *exec.Cmd
	stderr  *os.File
	// ended is closed once the process has ended; exit is then its exit status.
	ended chan struct{}
	exit  error
}

// PID returns the process's ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// ExitError returns how a process has ended: nil if it exited with status 0.
func (p *Process) ExitError() error {
	<-p.ended
	return p.exit
}

// Signal sends a signal; it does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.ended
	return err
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes the process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits for the process's end; after d it sends
// SIGKILL.
func (p *Process) Terminate(d time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.ended:
		return nil
	case <-t.C:
		return p.Kill()
	}
}

// Starter starts all processes from one OS thread that it keeps until Close:
// Linux sends a child its parent-death signal (Pdeathsig) when the thread that
// started it ends, not only when the parent process ends.
type Starter struct {
	tasks  *errgroup.Group
	starts chan func()
}

// NewStarter returns a starter.
func NewStarter() *Starter {
	s := &Starter{tasks: &errgroup.Group{}, starts: make(chan func())}
	s.tasks.Go(func() error {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for f := range s.starts {
			f()
		}
		return nil
	})
	return s
}

// Start starts a process that is killed when this process ends. Its standard output and
// error go to a file of its name in dir; env is added to this process's environment.
func (s *Starter) Start(dir, name, program string, env []string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	var err error
	if p.stderr, err = os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode); err != nil {
		return nil, Error.Wrap(err)
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.stderr, p.stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.starts <- func() { done <- p.cmd.Start() }
	if err := <-done; err != nil {
		_ = p.stderr.Close()
		return nil, Error.Wrap(err)
	}
	s.tasks.Go(func() error {
		defer close(p.ended)
		p.exit = p.cmd.Wait()
		_ = p.stderr.Close()
		return nil
	})
	return p, nil
}

// Close ends the starter once all its processes have ended.
func (s *Starter) Close() {
	close(s.starts)
	_ = s.tasks.Wait()
}

// logFileMode is the file mode of log files.
const logFileMode = 0o644
