package database

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Fault is a set of faults that can be set at run time.
type Fault struct {
	// StopReplication stops replication to this member.
	StopReplication bool
	// Refuse closes new connections immediately.
	Refuse bool
	// Freeze stops reads and writes on all connections, existing and new, while
	// it is set.
	Freeze bool
}

// SetFault replaces the member's faults.
func (m *Member) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	close(m.faultChanged)
	m.faultChanged = make(chan struct{})
}

// SetLag changes the replication delay of this member.
func (m *Member) SetLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Lag = d
}

// Silence makes all open connections permanently stop answering; new ones work.
func (m *Member) Silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		s.silent.Store(true)
	}
}

// silentSessionLinger is how long a silent session still exists after the client
// has closed the connection: the time until the server's keep-alive would detect
// that.
const silentSessionLinger = 5 * time.Second

// discardInput discards the session's input until the connection is closed, then
// waits until the session is terminated or silentSessionLinger has passed.
func (s *session) discardInput(c context.Context) {
	_, _ = io.Copy(io.Discard, s.netConn)
	t := time.NewTimer(silentSessionLinger)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-s.terminated:
	case <-t.C:
	}
}

// terminateSession terminates the session with the given process ID and reports
// whether it has ended, which is true for a session that doesn't exist.
func (m *Member) terminateSession(c context.Context, pid uint32) bool {
	var s *session
	m.mu.Lock()
	for t := range m.sessions {
		if t.pid == pid {
			s = t
		}
	}
	m.mu.Unlock()
	if s == nil {
		return true
	}
	s.terminateOnce.Do(func() { close(s.terminated) })
	s.interruptStatement()
	_ = s.netConn.Close()
	select {
	case <-s.ended:
		return true
	case <-c.Done():
		return false
	}
}

// sessionIdle reports whether the session with the given process ID runs no
// statement; silent sessions and those that don't exist count as idle.
func (m *Member) sessionIdle(pid uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		if s.pid == pid && !s.silent.Load() {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.cancelStatement == nil
		}
	}
	return true
}

func (m *Member) refusesConnections() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fault.Refuse
}

// awaitUnfrozen waits while the member is frozen.
func (m *Member) awaitUnfrozen(c context.Context) {
	for {
		m.mu.Lock()
		f, r := m.fault.Freeze, m.faultChanged
		m.mu.Unlock()
		if !f {
			return
		}
		select {
		case <-r:
		case <-c.Done():
			return
		}
	}
}

// Handler returns the HTTP API that sets faults: POST
// /fault?name=freeze&on=true, POST /silence and POST /lag?delay=2s.
func (m *Member) Handler() http.Handler {
	x := http.NewServeMux()
	x.HandleFunc("POST /fault", m.handleFault)
	x.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { m.Silence() })
	x.HandleFunc("POST /lag", m.handleLag)
	return x
}

func (m *Member) handleFault(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	f := m.fault
	m.mu.Unlock()
	on := r.FormValue("on") == "true"
	switch r.FormValue("name") {
	case "stop-replication":
		f.StopReplication = on
	case "refuse":
		f.Refuse = on
	case "freeze":
		f.Freeze = on
	default:
		http.Error(w, "name must be stop-replication, refuse or freeze", http.StatusBadRequest)
		return
	}
	m.SetFault(f)
}

func (m *Member) handleLag(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.FormValue("delay"))
	if err != nil || d < 0 {
		http.Error(w, "delay must be a duration", http.StatusBadRequest)
		return
	}
	m.SetLag(d)
}
