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
	Lag  time.Duration
	Work time.Duration
	// Promote is how long a promotion takes.
	Promote time.Duration
}

// Zones are the failure domains with their regions.
var Zones = map[string]string{"west-a": "west", "west-b": "west", "north-a": "north"}

var zoneOrder = []string{"west-a", "west-b", "north-a"}

// Site is a running stand-in.
type Site struct {
	c      Config
	kv     *kv
	groups []*group
	group  errgroup.Group
	// StoreAddress and PromotionAddress are where the services listen.
	StoreAddress     string
	PromotionAddress string
	closers          []func() error

	mu sync.Mutex
	// asked holds the statements that clients have sent, by id.
	asked  map[string]*asked
	broken []string
	// tokens holds the greatest fencing token of each group and its holder.
	tokens  map[string]int
	holders map[string]string
	version int
}

// asked is a statement as its client sent it.
type asked struct {
	id, session, text string
	sent              time.Time
	own               bool
	age               time.Duration
	// inTx tells that the client has a transaction open.
	inTx bool
	// values are those that the client's session was told of.
	values map[string]string
}

// New starts a site.
func New(c Config) (*Site, error) {
	s := &Site{c: c, kv: newKV(), asked: map[string]*asked{}, tokens: map[string]int{}, holders: map[string]string{}}
	for i := range c.Groups {
		g := &group{name: fmt.Sprintf("g%d", i), lag: c.Lag, promoted: map[int]time.Time{}, broken: s.note}
		for j, z := range zoneOrder {
			if err := s.addMember(g, fmt.Sprintf("m%d%d", i, j), z, j == i%3); err != nil {
				return nil, err
			}
		}
		s.groups = append(s.groups, g)
	}
	var err error
	if s.StoreAddress, err = s.listen(s.kv.handler()); err != nil {
		return nil, err
	}
	s.PromotionAddress, err = s.listen(http.HandlerFunc(s.promotion))
	s.Configure(nil)
	return s, err
}

func (s *Site) addMember(g *group, id, zone string, primary bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m := &member{id: id, g: g, site: s, l: l, primary: primary, term: 1, slots: make(chan struct{}, 3), conns: map[net.Conn]bool{}, born: time.Now().UnixMilli()}
	g.members = append(g.members, m)
	s.closers = append(s.closers, l.Close)
	s.group.Go(func() error {
		m.serve()
		return nil
	})
	s.beat(m, zone)
	return nil
}

// beat writes a member's entry.
func (s *Site) beat(m *member, zone string) {
	state, role := "ready", "replica"
	if m.draining {
		state = "draining"
	}
	if m.primary {
		role = "primary"
	}
	b, _ := json.Marshal(map[string]any{
		"service": m.g.name, "address": m.l.Addr().String(), "zone": zone, "version": "v1", "slots": 3, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": 1, "born": m.born,
	})
	s.kv.mu.Lock()
	defer s.kv.mu.Unlock()
	s.kv.put("servers/"+m.id, b, 0)
}

func (s *Site) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.closers = append(s.closers, v.Close)
	s.group.Go(func() error {
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
	_ = s.group.Wait()
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
		route(g.name+"-bounded", "bounded", g.name, 1, int(boundedAge.Milliseconds()))
		route(g.name+"-own", "own", g.name, 2, int(ownAge.Milliseconds()))
		services = append(services, map[string]any{"name": g.name, "connection_cap": maxConns, "sync_replicas": 0})
	}
	for _, e := range extra {
		route(e, "primary", s.groups[0].name, 0, 0)
	}
	s.mu.Lock()
	s.version += 3
	v := s.version
	s.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"version": v, "routes": routes, "services": services, "limits": map[string]any{"transaction_idle_ms": 1000}})
	s.kv.mu.Lock()
	defer s.kv.mu.Unlock()
	s.kv.put("op/config", b, 0)
}

// promotion answers the call that replaces a primary.
func (s *Site) promotion(w http.ResponseWriter, r *http.Request) {
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
	if token < s.tokens[b.Service] || token == s.tokens[b.Service] && h != s.holders[b.Service] {
		s.broken = append(s.broken, fmt.Sprintf("ONE: %s promotes with token %d after %d of %s", h, token, s.tokens[b.Service], s.holders[b.Service]))
	}
	s.tokens[b.Service], s.holders[b.Service] = max(token, s.tokens[b.Service]), h
	s.mu.Unlock()
	for _, g := range s.groups {
		for _, m := range g.members {
			if g.name == b.Service && m.id == b.ID {
				w.WriteHeader(s.promote(m))
				return
			}
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// promote starts a promotion and returns the status of the answer.
func (s *Site) promote(m *member) int {
	g := m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.down {
		return http.StatusConflict
	}
	if !m.primary {
		time.AfterFunc(s.c.Promote, func() {
			g.mu.Lock()
			if !m.primary && !m.down {
				g.promote(m, time.Now())
			}
			g.mu.Unlock()
			s.beatAll(g)
		})
	}
	return http.StatusOK
}

func (s *Site) beatAll(g *group) {
	for i, m := range g.members {
		s.beat(m, zoneOrder[i])
	}
}

func (s *Site) note(rule, format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, rule+": "+fmt.Sprintf(format, a...))
}

// Broken returns the promises that were broken.
func (s *Site) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.broken...)
}

// sessionOf returns the session of a statement.
func (s *Site) sessionOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.asked[id]; a != nil {
		return a.session
	}
	return ""
}

// check notes a statement that no client has sent, or that runs on a session
// with other values.
func (s *Site) check(id, text string, on *session) *asked {
	s.mu.Lock()
	a := s.asked[id]
	s.mu.Unlock()
	if a == nil {
		s.note("UNASKED", "%s runs %q", id, text)
		return nil
	}
	if on.state != 'I' && on.owner != a.session {
		s.note("PINNED", "%s of %s ran in the transaction of %s", id, a.session, on.owner)
	}
	if a.inTx && on.state == 'I' {
		s.note("PINNED", "%s of %s ran outside of its transaction", id, a.session)
	}
	if len(a.values) != len(on.values) {
		s.note("PINNED", "%s ran with %v instead of %v", id, on.values, a.values)
	}
	for n, v := range a.values {
		if on.values[n] != v {
			s.note("PINNED", "%s ran with %v instead of %v", id, on.values, a.values)
		}
	}
	return a
}
