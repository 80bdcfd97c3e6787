package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// scenarios are the cases by name.
var scenarios = map[string]func(*record) (*site, error){"one": one, "lost": lost, "text": text, "empty": empty}

// drawnWork returns a function that draws times with a mean and a largest value.
func drawnWork(mean, most time.Duration) func() time.Duration {
	const spread = 0.7
	return func() time.Duration {
		f := math.Exp(spread*rand.NormFloat64() - spread*spread/2)
		return min(time.Duration(f*float64(mean)), most)
	}
}

// distance returns the time that a message takes between two members.
func distance(from, to *member) time.Duration {
	switch {
	case regions[from.zone] != regions[to.zone]:
		return 30 * time.Millisecond
	case from.zone != to.zone:
		return 900 * time.Microsecond
	default:
		return 100 * time.Microsecond
	}
}

// tankerbook returns the figures of the deployment of that name.
func tankerbook() settings {
	return settings{
		slots: 5, queue: 40, connections: 60, opening: 12 * time.Millisecond, applyLag: 8 * time.Millisecond, promotion: time.Second,
		beat: 1200 * time.Millisecond, work: drawnWork(33*time.Millisecond, 82*time.Millisecond), distance: distance,
	}
}

// one partitions a primary from the core. Its entry lapses in the store, and another
// member is promoted while the primary still runs.
func one(r *record) (*site, error) {
	s, err := newSite(r, tankerbook(), 3)
	if err != nil {
		return s, err
	}
	if err := s.start(); err != nil {
		return s, err
	}
	n := len(s.groups)
	end := s.load(n*48, func(i int, done <-chan struct{}) {
		g := s.groups[i%n]
		s.transactions(i, g, "db"+g.name[3:], func() time.Duration { return 900*time.Millisecond + rand.N(100*time.Millisecond) }, done)
	})
	defer end()
	time.Sleep(4 * time.Second)
	for i := 0; i < 13 && !s.isBroken(); i++ {
		g := s.groups[i%n]
		if s.trouble {
			g.mu.Lock()
			m := g.newest()
			m.storeCut = true
			g.mu.Unlock()
			s.event("%s is partitioned from the core for 5 s", m.id)
			time.AfterFunc(5*time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				m.storeCut = false
				s.event("%s isn't partitioned from the core any more", m.id)
			})
		}
		time.Sleep(7 * time.Second)
	}
	return s, nil
}

// lost partitions a replica from all machines. Meanwhile the other one receives nothing,
// and the primary crashes.
func lost(r *record) (*site, error) {
	set := tankerbook()
	set.syncReplicas = 1
	s, err := newSite(r, set, 1)
	if err != nil {
		return s, err
	}
	if err := s.start(); err != nil {
		return s, err
	}
	g := s.groups[0]
	end := s.load(48, func(i int, done <-chan struct{}) { s.writes(i, g, "db0", done) })
	defer end()
	time.Sleep(5 * time.Second)
	p, a, c := g.members[0], g.members[1], g.members[2]
	if s.trouble {
		s.event("%s is partitioned from all machines for 12 s, its link to the primary works", a.id)
		a.partition(true)
		time.AfterFunc(12*time.Second, func() { a.partition(false) })
		time.Sleep(3 * time.Second)
		c.setDeaf(true)
		time.AfterFunc(6500*time.Millisecond, func() { c.setDeaf(false) })
		time.Sleep(5 * time.Second)
		p.crash()
		time.AfterFunc(7*time.Second, p.restart)
	}
	time.Sleep(14 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	n, first := 0, ""
	for id, e := range g.commits {
		t := g.promotedAt[e.term+1]
		if log := g.promoted[e.term+1]; log != nil && e.acknowledged.Before(t) && !e.acknowledged.IsZero() && !slices.Contains(log, e) {
			n++
			first = id + " (" + e.position() + ")"
			r.event("%s was acknowledged and is lost: %s", id, e.position())
		}
	}
	if n > 0 {
		s.broken("LOST: %d acknowledged commits, one of them %s, aren't in the log of the member that was promoted", n, first)
	}
	return s, nil
}

// text sends statements whose data, and reads rows whose text, are in ISO 8859-1: bytes
// that are no UTF-8.
func text(r *record) (*site, error) {
	s, err := newSite(r, tankerbook(), 1)
	if err != nil {
		return s, err
	}
	g := s.groups[0]
	data := "Gr\xfcn-gel\xe9"
	if !s.trouble {
		data = "Gr\u00fcn-gel\u00e9"
	}
	var mu sync.Mutex
	sent := map[string]string{}
	g.received = func(m *member, id, text string) {
		mu.Lock()
		t, ok := sent[id]
		mu.Unlock()
		if !ok {
			return
		}
		s.event("%s receives %s %q", m.id, id, text)
		if t != text {
			s.broken("UNASKED: %s ran %s with changed text: sent %q, received %q", m.id, id, t, text)
		}
	}
	g.row = func(string) string { return data }
	if err := s.start(); err != nil {
		return s, err
	}
	for i, h := range s.hosts {
		c := &client{s: s, name: fmt.Sprintf("t%d", i)}
		if !c.open(h.front, "db0") {
			return s, errors.New("no session at " + h.name)
		}
		for n := range 5 {
			for _, t := range []string{fmt.Sprintf("WRITE k%d%d %s", i, n, data), fmt.Sprintf("READ k%d%d", i, n)} {
				mu.Lock()
				sent[fmt.Sprintf("%s-%d", c.name, c.n+1)] = t
				mu.Unlock()
				id, a := c.query(t, 2*time.Second)
				for _, row := range a.rows {
					if row != data {
						s.broken("MIXED: the answer to %s has another row: the member sent %q, the client got %q", id, data, row)
					}
				}
			}
		}
		c.close()
	}
	return s, nil
}

// empty makes a primary start again under its ID, without its log. Clients read and write
// on a route of kind primary, and for the last seconds they only read.
func empty(r *record) (*site, error) {
	s, err := newSite(r, tankerbook(), 1)
	if err != nil {
		return s, err
	}
	g := s.groups[0]
	var mu sync.Mutex
	var readOnly atomic.Bool
	var reads, stale int
	sent := map[string]time.Time{}
	g.read = func(m *member, id string) {
		mu.Lock()
		t, ok := sent[id]
		mu.Unlock()
		if !ok {
			return
		}
		reads++
		for _, e := range g.commits {
			if !e.acknowledged.IsZero() && e.acknowledged.Before(t) && !m.has(e) && !g.rolledBack(e) {
				stale++
				s.broken("STALE: %s ran at %s, whose log ends at %s and lacks %s, acknowledged %d ms before the read was sent",
					id, m.id, position(m.log), e.position(), t.Sub(e.acknowledged).Milliseconds())
				return
			}
		}
	}
	if err := s.start(); err != nil {
		return s, err
	}
	end := s.load(20, func(i int, done <-chan struct{}) {
		c := &client{s: s, name: fmt.Sprintf("r%d", i)}
		defer c.close()
		for {
			select {
			case <-done:
				return
			default:
			}
			if c.conn == nil && !c.open(s.hosts[i%len(s.hosts)].front, "db0") {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			write := !readOnly.Load() && rand.Float64() < 0.35
			t := fmt.Sprintf("READ k%d", rand.IntN(200))
			if write {
				t = fmt.Sprintf("WRITE k%d v%d", rand.IntN(200), c.n)
			} else {
				mu.Lock()
				sent[fmt.Sprintf("%s-%d", c.name, c.n+1)] = time.Now()
				mu.Unlock()
			}
			id, a := c.query(t, 2*time.Second)
			if write && a.success {
				s.acknowledged(g, id)
			}
			if a.code == "closed" {
				c.close()
			}
			time.Sleep(rand.N(300 * time.Millisecond))
		}
	})
	defer end()
	time.Sleep(5 * time.Second)
	readOnly.Store(true)
	time.Sleep(time.Second)
	g.mu.Lock()
	reads = 0
	g.mu.Unlock()
	if s.trouble {
		g.members[0].restartEmpty()
	}
	time.Sleep(5 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	s.event("%d of the %d reads that ran in the last 5 s were stale", stale, reads)
	return s, nil
}
