package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Config holds the sizes of a site.
type Config struct {
	// Groups is the number of database groups, of three members each.
	Groups int
	// Lag is how far replicas are behind; Work is the time of a statement.
	Lag           time.Duration
	StatementTime time.Duration
	// PromotionTime is how long a promotion takes.
	PromotionTime time.Duration
}

// Zones are the failure domains with their regions.
var Zones = map[string]string{"west-a": "west", "west-b": "west", "north-a": "north"}

var zoneOrder = []string{"west-a", "west-b", "north-a"}

// Site is a running stand-in.
type Site struct {
	config Config
	store  *store
	groups []*group
	tasks  errgroup.Group
	// StoreAddress and PromotionAddress are where the services listen.
	StoreAddress     string
	PromotionAddress string
	closers          []func() error

	mu sync.Mutex
	// statements holds the statements that clients have sent, by id.
	statements map[string]*statement
	violations []string
	// fencingTokens holds the greatest fencing token of each group and its holder.
	fencingTokens map[string]int
	tokenHolders  map[string]string
	configVersion int
}

// statement is a statement as its client sent it.
type statement struct {
	id, session, text string
	sent              time.Time
	ownWrites         bool
	maxStaleness      time.Duration
	// inTransaction tells that the client has a transaction open.
	inTransaction bool
	// values are those that the client's session was told of.
	values map[string]string
}

// New starts a site.
func New(c Config) (*Site, error) {
	s := &Site{config: c, store: newStore(), statements: map[string]*statement{}, fencingTokens: map[string]int{}, tokenHolders: map[string]string{}}
	for i := range c.Groups {
		g := &group{name: fmt.Sprintf("g%d", i), lag: c.Lag, promotedAt: map[int]time.Time{}, reportViolation: s.reportViolation}
		for j, z := range zoneOrder {
			if err := s.addMember(g, fmt.Sprintf("m%d%d", i, j), z, j == i%3); err != nil {
				return nil, err
			}
		}
		s.groups = append(s.groups, g)
	}
	var err error
	if s.StoreAddress, err = s.listen(s.store.handler()); err != nil {
		return nil, err
	}
	s.PromotionAddress, err = s.listen(http.HandlerFunc(s.handlePromotion))
	s.Configure(nil)
	return s, err
}

func (s *Site) addMember(g *group, id, zone string, primary bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m := &member{id: id, group: g, site: s, listener: l, primary: primary, term: 1, slots: make(chan struct{}, 3), conns: map[net.Conn]bool{}, startedAt: time.Now().UnixMilli()}
	g.members = append(g.members, m)
	s.closers = append(s.closers, l.Close)
	s.tasks.Go(func() error {
		m.serve()
		return nil
	})
	s.publishMember(m, zone)
	return nil
}

// publishMember writes a member's entry.
func (s *Site) publishMember(m *member, zone string) {
	state, role := "ready", "replica"
	if m.draining {
		state = "draining"
	}
	if m.primary {
		role = "primary"
	}
	b, _ := json.Marshal(map[string]any{
		"service": m.group.name, "address": m.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 3, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": 1, "born": m.startedAt,
	})
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put("servers/"+m.id, b, 0)
}

func (s *Site) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.closers = append(s.closers, v.Close)
	s.tasks.Go(func() error {
		_ = v.Serve(l)
		return nil
	})
	return l.Addr().String(), nil
}

// Close ends the site.
func (s *Site) Close() {
	for _, c := range s.closers {
		_ = c()
	}
	for _, g := range s.groups {
		g.mu.Lock()
		for _, m := range g.members {
			for c := range m.conns {
				_ = c.Close()
			}
		}
		g.mu.Unlock()
	}
	_ = s.tasks.Wait()
}

// Configure writes a configuration with three databases a group and the extra
// ones given.
func (s *Site) Configure(extra []string) {
	var routes, services []map[string]any
	route := func(host, kind, service string, priority, age int) {
		routes = append(routes, map[string]any{
			"name": "r-" + host, "host": host, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 1000, "priority": priority,
			"service": service, "max_attempts": 2, "max_staleness_ms": age,
		})
	}
	for _, g := range s.groups {
		route(g.name+"-primary", "primary", g.name, 0, 0)
		route(g.name+"-bounded", "bounded", g.name, 1, int(boundedMaxStaleness.Milliseconds()))
		route(g.name+"-own", "own", g.name, 2, int(ownMaxStaleness.Milliseconds()))
		services = append(services, map[string]any{"name": g.name, "connection_cap": maxConns, "sync_replicas": 0})
	}
	for _, e := range extra {
		route(e, "primary", s.groups[0].name, 0, 0)
	}
	s.mu.Lock()
	s.configVersion += 3
	v := s.configVersion
	s.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"version": v, "routes": routes, "services": services, "limits": map[string]any{"transaction_idle_ms": 1000}})
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put("op/config", b, 0)
}

// handlePromotion answers the call that replaces a primary.
func (s *Site) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	var token int
	_, _ = fmt.Sscan(r.Header.Get("Dragonflypick-Fencing-Token"), &token)
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h := r.Header.Get("Dragonflypick-Duty-Holder")
	s.mu.Lock()
	if token < s.fencingTokens[b.Service] || token == s.fencingTokens[b.Service] && h != s.tokenHolders[b.Service] {
		s.violations = append(s.violations, fmt.Sprintf("ONE: %s promotes with token %d after %d of %s", h, token, s.fencingTokens[b.Service], s.tokenHolders[b.Service]))
	}
	s.fencingTokens[b.Service], s.tokenHolders[b.Service] = max(token, s.fencingTokens[b.Service]), h
	s.mu.Unlock()
	for _, g := range s.groups {
		for _, m := range g.members {
			if g.name == b.Service && m.id == b.ID {
				w.WriteHeader(s.startPromotion(m))
				return
			}
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// startPromotion starts a promotion and returns the status of the answer.
func (s *Site) startPromotion(m *member) int {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.down {
		return http.StatusConflict
	}
	if !m.primary {
		time.AfterFunc(s.config.PromotionTime, func() {
			g.mu.Lock()
			if !m.primary && !m.down {
				g.promote(m, time.Now())
			}
			g.mu.Unlock()
			s.publishMembers(g)
		})
	}
	return http.StatusOK
}

func (s *Site) publishMembers(g *group) {
	for i, m := range g.members {
		s.publishMember(m, zoneOrder[i])
	}
}

func (s *Site) reportViolation(rule, format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, rule+": "+fmt.Sprintf(format, a...))
}

// Violations returns the promises that were broken.
func (s *Site) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// sessionOf returns the session of a statement.
func (s *Site) sessionOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.statements[id]; a != nil {
		return a.session
	}
	return ""
}

// checkStatement notes a statement that no client has sent, or that runs on a session
// with other values.
func (s *Site) checkStatement(id, text string, on *session) *statement {
	s.mu.Lock()
	a := s.statements[id]
	s.mu.Unlock()
	if a == nil {
		s.reportViolation("UNASKED", "%s runs %q", id, text)
		return nil
	}
	if on.state != 'I' && on.owner != a.session {
		s.reportViolation("PINNED", "%s of %s ran in the transaction of %s", id, a.session, on.owner)
	}
	if a.inTransaction && on.state == 'I' {
		s.reportViolation("PINNED", "%s of %s ran outside of its transaction", id, a.session)
	}
	if len(a.values) != len(on.values) {
		s.reportViolation("PINNED", "%s ran with %v instead of %v", id, on.values, a.values)
	}
	for n, v := range a.values {
		if on.values[n] != v {
			s.reportViolation("PINNED", "%s ran with %v instead of %v", id, on.values, a.values)
		}
	}
	return a
}
