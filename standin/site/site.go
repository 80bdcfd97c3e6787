package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Config holds the settings of a site.
type Config struct {
	// Groups is the number of database groups; each has three members.
	Groups int
	// Lag is the replication lag; StatementTime is the processing time of a
	// statement.
	Lag           time.Duration
	StatementTime time.Duration
	// PromotionTime is the duration of a promotion.
	PromotionTime time.Duration
	// SyncReplicas is how many replicas receive a commit before it is acknowledged.
	SyncReplicas int
	// Teams is the number of teams; clients need no key if it is zero.
	Teams int
	// Advertise returns the address at which daemons reach a member that listens at the
	// given one; nil if they connect to that.
	Advertise func(member, address string) (string, error)
	// DrainTime is how long a draining member may get new work; zero if that isn't checked.
	DrainTime time.Duration
	// OnPromotion is called with the member of each promotion that is accepted; it may be nil.
	OnPromotion func(member string)
	// AnyBytes lets the texts of clients and members be other than UTF-8.
	AnyBytes bool
}

// Regions maps each failure domain to its region.
var Regions = map[string]string{"west-a": "west", "west-b": "west", "north-a": "north"}

// failureDomains are the failure domains of a group's members, in their order.

var failureDomains = []string{"west-a", "west-b", "north-a"}

// Site is a running stand-in for the platform.
type Site struct {
	config Config
	store  *store
	groups []*group
	signer *signer
	tasks  errgroup.Group
	// StoreAddress and PromotionAddress are the listen addresses of the two
	// services.
	StoreAddress     string
	PromotionAddress string
	// TurnedAwayAddress is another address of the store; see SetTurnedAway.
	TurnedAwayAddress string
	turnedAway        atomic.Bool
	closers           []func() error

	mu sync.Mutex
	// statements holds the statements that clients have sent, by ID.
	statements map[string]*statement
	violations []string
	// fencingTokens holds the highest fencing token received for each group,
	// tokenHolders the lease holder that sent it.
	fencingTokens map[string]int
	tokenHolders  map[string]string
	// drainsExcusedUntil is until when late work at draining members isn't reported.
	drainsExcusedUntil time.Time
	// promotionDelays holds what is to be done with the next calls that request promotions.
	promotionDelays []promotionDelay
	configVersion   int
	// configuration is the encoding of the newest configuration.
	configuration []byte
	// keys holds who has held each key, in order.
	keys map[string][]holding
	// sequence counts the reports of all members.
	sequence int
}

// New starts a site.
func New(c Config) (*Site, error) {
	s := &Site{config: c, store: newStore(), statements: map[string]*statement{}, fencingTokens: map[string]int{}, tokenHolders: map[string]string{}, keys: map[string][]holding{}}
	s.signer = &signer{endings: s.texts(endingsSeed, 0).endings()}
	s.initKeys()
	for i := range c.Groups {
		g := &group{name: fmt.Sprintf("g%d", i), lag: c.Lag, syncReplicas: c.SyncReplicas, promotedAt: map[int]time.Time{}, reportViolation: s.reportViolation}
		for j, z := range failureDomains {
			if err := s.addMember(g, fmt.Sprintf("m%d%d", i, j), z, j == i%3); err != nil {
				return nil, err
			}
		}
		s.groups = append(s.groups, g)
	}
	var err error
	if s.StoreAddress, err = s.startHTTPServer(s.store.handler()); err != nil {
		return nil, err
	}
	if s.TurnedAwayAddress, err = s.startHTTPServer(s.turnAway(s.store.handler())); err != nil {
		return nil, err
	}
	s.PromotionAddress, err = s.startHTTPServer(http.HandlerFunc(s.handlePromotion))
	s.Configure(nil)
	return s, err
}

func (s *Site) addMember(g *group, id, failureDomain string, primary bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a := l.Addr().String()
	if s.config.Advertise != nil {
		if a, err = s.config.Advertise(id, a); err != nil {
			return err
		}
	}
	m := &member{id: id, group: g, site: s, listener: l, advertised: a, primary: primary, term: 1, slots: make(chan struct{}, 3), conns: map[net.Conn]bool{}, startedAt: time.Now().UnixMilli()}
	g.members = append(g.members, m)
	s.closers = append(s.closers, l.Close)
	s.tasks.Go(func() error {
		m.acceptConnections()
		return nil
	})
	s.publishMember(m, failureDomain)
	return nil
}

// publishMember writes the state of a member to the store.
func (s *Site) publishMember(m *member, failureDomain string) {
	state, role := "ready", "replica"
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.cutFromStore {
		return
	}
	if m.draining {
		state = "draining"
	}
	if m.primary {
		role = "primary"
	}
	b, _ := json.Marshal(map[string]any{
		"service": m.group.name, "address": m.advertised, "zone": failureDomain, "version": "v1", "slots": 3, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": s.nextSequence(), "born": m.startedAt,
	})
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put("servers/"+m.id, b, 0)
}

// nextSequence returns the sequence of the next report of a member.
func (s *Site) nextSequence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.sequence
}

func (s *Site) startHTTPServer(h http.Handler) (string, error) {
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

// Close stops the site and waits for its tasks.
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

// Configure writes a configuration with three databases for each group and the
// given extra databases on the first group.
func (s *Site) Configure(extra []string) {
	var routes, services []map[string]any
	route := func(host, kind, service string, priority, maxStaleness int) {
		routes = append(routes, map[string]any{
			"name": "r-" + host, "host": host, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 1000, "priority": priority,
			"service": service, "max_attempts": 2, "max_staleness_ms": maxStaleness,
		})
	}
	for _, g := range s.groups {
		route(g.name+"-primary", "primary", g.name, 0, 0)
		route(g.name+"-bounded", "bounded", g.name, 1, int(boundedMaxStaleness.Milliseconds()))
		route(g.name+"-own", "own", g.name, 2, int(ownMaxStaleness.Milliseconds()))
		services = append(services, map[string]any{"name": g.name, "connection_cap": maxConnections, "sync_replicas": s.config.SyncReplicas})
	}
	for _, e := range extra {
		route(e, "primary", s.groups[0].name, 0, 0)
	}
	s.mu.Lock()
	s.configVersion += 3
	v, teams := s.configVersion, s.tenants()
	s.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"version": v, "routes": routes, "services": services, "tenants": teams, "limits": map[string]any{"transaction_idle_ms": 1000}})
	s.PutConfiguration(b)
}

// PutConfiguration writes the encoding of a configuration, which may be invalid.
func (s *Site) PutConfiguration(b []byte) {
	s.mu.Lock()
	s.configuration = b
	s.mu.Unlock()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put("op/config", b, 0)
}

// handlePromotion serves requests to promote a member. It reports a violation
// of ONE if the request's fencing token is below the group's highest one, or
// equals it but was first sent by another holder.
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
	s.delayPromotion(h)
	s.mu.Lock()
	if token < s.fencingTokens[b.Service] || token == s.fencingTokens[b.Service] && h != s.tokenHolders[b.Service] {
		s.violations = append(s.violations, fmt.Sprintf("ONE: %s requested a promotion with token %d after token %d of %s", h, token, s.fencingTokens[b.Service], s.tokenHolders[b.Service]))
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

// promotionDelay is how long a call is on its way, and what happens meanwhile.
type promotionDelay struct {
	time time.Duration
	held func(host string)
}

// ExcuseDrains reports no late work at draining members for the next d: faults may hold it up.
func (s *Site) ExcuseDrains(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainsExcusedUntil = time.Now().Add(d)
}

func (s *Site) drainsExcused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.drainsExcusedUntil)
}

// DelayPromotion makes the next call that requests a promotion arrive later by d. held is
// called with the name of the host that has sent it.
func (s *Site) DelayPromotion(d time.Duration, held func(host string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promotionDelays = append(s.promotionDelays, promotionDelay{time: d, held: held})
}

// delayPromotion waits until a call from a holder arrives.
func (s *Site) delayPromotion(holder string) {
	s.mu.Lock()
	l := s.promotionDelays
	if len(l) > 0 {
		s.promotionDelays = l[1:]
	}
	s.mu.Unlock()
	if len(l) == 0 {
		return
	}
	host, _, _ := strings.Cut(holder, ".")
	l[0].held(host)
	time.Sleep(l[0].time)
}

// startPromotion starts a promotion and returns the HTTP status of the answer.
func (s *Site) startPromotion(m *member) int {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.down {
		return http.StatusConflict
	}
	if s.config.OnPromotion != nil {
		s.tasks.Go(func() error {
			s.config.OnPromotion(m.id)
			return nil
		})
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
		s.publishMember(m, failureDomains[i])
	}
}

// reportViolation records a violation of a guarantee; rule names the guarantee.
func (s *Site) reportViolation(rule, format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, rule+": "+fmt.Sprintf(format, a...))
}

// Violations returns the violations found so far.
func (s *Site) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}
