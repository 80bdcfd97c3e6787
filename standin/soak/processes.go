package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/dragonflypick/dragonflypick/standin/process"
)

// managedProcess is a daemon's place: a process runs there, or another one after it.
type managedProcess struct {
	name string
	// start starts a process at this place.
	start func() (*process.Process, error)
	// grace is how long a process may take to end after SIGTERM.
	grace time.Duration

	mu      sync.Mutex
	process *process.Process
	// disturbed is set while a fault lasts.
	disturbed bool
	failures  []string
}

// run starts the first process.
func (m *managedProcess) run() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, err := m.start()
	m.process = p
	return err
}

// inject applies an action to the process and returns a function that undoes it, or
// false if another one lasts.
func (m *managedProcess) inject(a ProcessAction) (end func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disturbed {
		return nil, false
	}
	m.disturbed = true
	p := m.process
	if p.Ended() {
		m.fail("ended by itself: %v", p.ExitError())
	}
	switch a {
	case Kill:
		_ = p.Kill()
	case Stop:
		_ = p.Signal(syscall.SIGTERM)
	case Pause:
		_ = p.Freeze()
	}
	return func() { m.end(a, p) }, true
}

// end ends an action: the process goes on, or another one starts once it has ended.
func (m *managedProcess) end(a ProcessAction, p *process.Process) {
	if a == Stop {
		select {
		case <-p.Done():
			if err := p.ExitError(); err != nil {
				m.mu.Lock()
				m.fail("failed after SIGTERM: %v", err)
				m.mu.Unlock()
			}
		case <-time.After(m.grace):
			m.mu.Lock()
			m.fail("didn't end within %s of SIGTERM", m.grace)
			m.mu.Unlock()
			_ = p.Kill()
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = false
	if a == Pause {
		_ = p.Thaw()
		return
	}
	n, err := m.start()
	if err != nil {
		m.fail("didn't start again: %v", err)
		return
	}
	m.process = n
}

// fail records a failure; m.mu is held.
func (m *managedProcess) fail(format string, a ...any) {
	m.failures = append(m.failures, "PROCESS: "+m.name+" "+fmt.Sprintf(format, a...))
}

// check returns the failures so far, and whether the process has ended by itself.
func (m *managedProcess) check() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.disturbed && m.process.Ended() {
		m.fail("ended by itself: %v", m.process.ExitError())
	}
	return m.failures
}

func (m *managedProcess) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Kill()
	}
}
