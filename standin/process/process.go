// Package process runs a whole system as separate processes on loopback: the
// stand-in platform, a database group's members, and daemons with a signed
// bundle. It ends only processes that it started.
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

// Error is the class of all failures of this package.
var Error = errs.Class("standin process")

// Programs are the paths of the built programs.
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

// ProgramsIn returns the programs that stand in a folder.
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

// Process is a running process.
type Process struct {
	// Name is unique in a system.
	Name string
	// Log is the file of its error output.
	Log string
	cmd *exec.Cmd
	out *os.File
	// ended is closed when the process has ended.
	ended chan struct{}
}

// PID returns the process's id.
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

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	return nil
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.ended
	return err
}

// Freeze stops the process with SIGSTOP.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw continues the process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate ends the process with SIGTERM, and with SIGKILL after d.
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

// starter starts processes on one thread that lives as long as they may, since
// the system ends a child whose parent's thread has ended.
type starter struct {
	g *errgroup.Group
	c chan func()
}

func newStarter() *starter {
	s := &starter{g: &errgroup.Group{}, c: make(chan func())}
	s.g.Go(func() error {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for f := range s.c {
			f()
		}
		return nil
	})
	return s
}

// start starts a process that ends at the latest with this one.
func (s *starter) start(dir, name, program string, env []string, args ...string) (*Process, error) {
	p := &Process{Name: name, Log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	var err error
	if p.out, err = os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode); err != nil {
		return nil, Error.Wrap(err)
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.c <- func() { done <- p.cmd.Start() }
	if err := <-done; err != nil {
		_ = p.out.Close()
		return nil, Error.Wrap(err)
	}
	s.g.Go(func() error {
		defer close(p.ended)
		_ = p.cmd.Wait()
		_ = p.out.Close()
		return nil
	})
	return p, nil
}

func (s *starter) close() {
	close(s.c)
	_ = s.g.Wait()
}

// logMode is the file mode of logs.
const logMode = 0o644
