package main

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// settings are the figures of a small deployment.
type settings struct {
	slots, queue, connections int
	// opening is the time that a new connection takes a slot, applyLag how late replicas
	// apply, promotion how long a promotion takes, and beat the heartbeat interval.
	opening, applyLag, promotion, beat time.Duration
	// work is how long a read, write or commit takes a slot.
	work func() time.Duration
	// distance is the time that a commit takes from one member to another.
	distance     func(from, to *member) time.Duration
	syncReplicas int
}

// entry is a commit in a member's log.
type entry struct {
	term, number int
	ids          []string
	keys         []string
	committed    time.Time
	// acknowledged is when a client was told the success, zero if none was.
	acknowledged time.Time
}

func (e *entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

// last returns the last entry of a log, an empty one if there is none.
func last(log []*entry) *entry {
	if len(log) == 0 {
		return &entry{}
	}
	return log[len(log)-1]
}

// position returns the position of a log's end.
func position(log []*entry) string {
	if len(log) == 0 {
		return "-"
	}
	return last(log).position()
}

// group is a service with its members; mu guards all of it.
type group struct {
	mu      sync.Mutex
	name    string
	s       settings
	store   *store
	members []*member
	// commits holds all commits by the IDs of their statements.
	commits map[string]*entry
	// promotedAt is when the promotion that began a term took effect.
	promotedAt map[int]time.Time
	// promoted holds the member that was promoted and its log at that time, by term.
	promoted map[int][]*entry
	event    func(format string, a ...any)
	// received is called with each statement that reaches a member without its AFTER,
	// and row returns the row for a read; both may be nil.
	received func(m *member, id, text string)
	row      func(key string) string
	// read is called with each read that runs, with mu held; it may be nil.
	read func(m *member, id string)
}

// member is a database.
type member struct {
	g          *group
	id, zone   string
	listener   net.Listener
	primary    bool
	term       int
	log        []*entry
	received   []time.Time
	running    bool
	life       int
	state      string
	born       int64
	sequence   int
	lastBeat   time.Time
	lastRecord string
	storeCut   bool
	frontsCut  bool
	// deaf is set while the member receives no commits.
	deaf     bool
	slots    chan struct{}
	waiting  int
	conns    map[net.Conn]bool
	advanced chan struct{}
}

func newGroup(name string, s settings, k *store, zones []string, event func(string, ...any)) (*group, error) {
	g := &group{name: name, s: s, store: k, commits: map[string]*entry{}, promotedAt: map[int]time.Time{}, promoted: map[int][]*entry{}, event: event}
	first := &entry{term: 1, number: 1, committed: time.Now()}
	for i, z := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{
			g: g, id: fmt.Sprintf("i-%s-%s", name, string(rune('a'+i))), zone: z, listener: l, primary: i == 0, term: 1, log: []*entry{first},
			received: []time.Time{time.Now()}, running: true, state: "ready", born: time.Now().UnixMilli(),
			slots: make(chan struct{}, s.slots), conns: map[net.Conn]bool{}, advanced: make(chan struct{}),
		}
		g.members = append(g.members, m)
		go m.accept()
		go m.beat()
	}
	return g, nil
}

// beat writes the member's entry at each heartbeat. The store removes an entry after
// three intervals of silence.
func (m *member) beat() {
	for {
		m.g.mu.Lock()
		m.report()
		m.g.mu.Unlock()
		time.Sleep(m.g.s.beat)
	}
}

// report sends a heartbeat, or removes the entry of a silent member; g.mu is held.
func (m *member) report() {
	key := "servers/" + m.id
	if !m.running || m.storeCut {
		if m.lastRecord != "" && time.Since(m.lastBeat) >= 3*m.g.s.beat {
			m.lastRecord = ""
			m.g.event("entry of %s is removed from the store", m.id)
			m.g.store.remove(key)
		}
		return
	}
	m.sequence++
	m.lastBeat = time.Now()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	r := role + m.state + strconv.FormatInt(m.born, 10)
	if r == m.lastRecord {
		return
	}
	m.lastRecord = r
	b, _ := json.Marshal(map[string]any{
		"service": m.g.name, "address": m.listener.Addr().String(), "zone": m.zone, "version": "v1", "slots": m.g.s.slots, "state": m.state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": m.sequence, "born": m.born,
	})
	m.g.store.put(key, b, 0)
}

// newest returns the primary of the newest term, g.mu is held.
func (g *group) newest() *member {
	var o *member
	for _, m := range g.members {
		if m.primary && (o == nil || m.term > o.term) {
			o = m
		}
	}
	return o
}

// promote makes a member the primary of the next term after the time that a promotion
// takes. It returns false if the member isn't running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.id == id })
	if i < 0 || !g.members[i].running {
		return false
	}
	m := g.members[i]
	if g.newest() == m {
		return true
	}
	time.AfterFunc(g.s.promotion, func() { g.takeEffect(m) })
	return true
}

func (g *group) takeEffect(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.running || g.newest() == m {
		return
	}
	t := 0
	for _, o := range g.members {
		t = max(t, o.term)
	}
	m.primary, m.term = true, t+1
	g.promotedAt[m.term], g.promoted[m.term] = time.Now(), slices.Clone(m.log)
	g.event("%s leads term %d from %s on", m.id, m.term, position(m.log))
	m.report()
	for _, o := range g.members {
		switch {
		case o == m:
		case o.primary:
			// It learns of the new primary a second after it can reach it.
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.follow(o)
			})
		default:
			time.AfterFunc(g.s.distance(m, o), func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.follow(o)
			})
		}
	}
}

// follow makes a running member a replica of the newest primary, with its log; g.mu is held.
func (g *group) follow(o *member) {
	p := g.newest()
	if p == nil || p == o || !o.running || o.term >= p.term {
		return
	}
	if o.primary {
		g.event("%s is a replica from now on", o.id)
	}
	o.primary, o.term = false, p.term
	n := 0
	for n < len(o.log) && n < len(p.log) && o.log[n] == p.log[n] {
		n++
	}
	o.log, o.received = o.log[:n:n], o.received[:n:n]
	o.receive(p.log)
	o.report()
}

// receive appends what a member lacks of a log that begins with its own; g.mu is held.
func (m *member) receive(log []*entry) {
	for i := len(m.log); i < len(log); i++ {
		m.log, m.received = append(m.log, log[i]), append(m.received, time.Now())
	}
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// commit appends a commit to the primary's log and sends it to its replicas; g.mu is held.
func (m *member) commit(ids, keys []string) *entry {
	g := m.g
	e := &entry{term: m.term, number: last(m.log).number + 1, ids: ids, keys: keys, committed: time.Now()}
	m.log, m.received = append(m.log, e), append(m.received, time.Now())
	for _, id := range ids {
		g.commits[id] = e
	}
	g.event("%s commits %s as %s", m.id, ids[len(ids)-1], e.position())
	n, term := len(m.log), m.term
	sent := m.log[:n:n]
	for _, o := range g.members {
		if o == m {
			continue
		}
		time.AfterFunc(g.s.distance(m, o), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			// What a primary has sent arrives although it crashed meanwhile.
			if o.running && !o.deaf && !o.primary && o.term == term && len(o.log) < n {
				o.receive(sent)
			}
		})
	}
	return e
}

// rolledBack reports whether a promotion has rolled back a commit; g.mu is held.
func (g *group) rolledBack(e *entry) bool {
	for t, log := range g.promoted {
		if t > e.term && !slices.Contains(log, e) {
			return true
		}
	}
	return false
}

// has reports whether a member's log holds a commit; g.mu is held.
func (m *member) has(e *entry) bool { return slices.Contains(m.log, e) }

// awaitReplica waits until a replica has received a commit.
func (m *member) awaitReplica(e *entry, life int) bool {
	g := m.g
	for {
		g.mu.Lock()
		if !m.running || m.life != life || !m.primary {
			g.mu.Unlock()
			return false
		}
		for _, o := range g.members {
			if o != m && o.has(e) {
				g.mu.Unlock()
				return true
			}
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// applied returns how many entries of its log a member has applied; g.mu is held.
func (m *member) applied() int {
	n := len(m.log)
	for n > 0 && !m.primary && time.Since(m.received[n-1]) < m.g.s.applyLag {
		n--
	}
	return n
}

// crash ends all connections; the member restarts with its log.
func (m *member) crash() {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.running = false
	m.life++
	for c := range m.conns {
		_ = c.Close()
	}
	m.g.event("%s crashes, its log ends at %s", m.id, position(m.log))
}

// setDeaf makes a replica receive no commits, or receive them again.
func (m *member) setDeaf(deaf bool) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.deaf = deaf
	m.g.event("%s receives nothing: %v", m.id, deaf)
}

// partition cuts a member off from the store and the daemons, or ends that. The others
// get no answer meanwhile.
func (m *member) partition(cut bool) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.storeCut, m.frontsCut = cut, cut
	m.g.event("partition of %s: %v", m.id, cut)
}

// restartEmpty makes a member start again under its ID. It holds and knows nothing of
// before.
func (m *member) restartEmpty() {
	m.crash()
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.log, m.received, m.running, m.born, m.sequence = nil, nil, true, time.Now().UnixMilli(), 0
	m.g.event("%s starts again and holds nothing", m.id)
	m.report()
}

func (m *member) restart() {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.running, m.born, m.sequence = true, time.Now().UnixMilli(), 0
	m.g.event("%s is back with its log", m.id)
	if p := m.g.newest(); p != nil && p.term > m.term {
		m.primary = false
		m.g.follow(m)
	}
	m.report()
}

func (m *member) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.g.mu.Lock()
		running, cut, full, life := m.running, m.frontsCut, len(m.conns) >= m.g.s.connections, m.life
		if running {
			m.conns[c] = true
		}
		m.g.mu.Unlock()
		switch {
		case !running:
			_ = c.Close()
		case cut:
			// A partitioned machine doesn't answer.
		default:
			go m.serve(c, full, life)
		}
	}
}
