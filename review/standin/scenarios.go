package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// scenarios are the cases by name.
var scenarios = map[string]func(*record) (*site, error){"one": one}

// drawnWork returns a function that draws times with a mean and a largest value.
func drawnWork(mean, most time.Duration) func() time.Duration {
	const spread = 0.7
	return func() time.Duration {
		f := math.Exp(spread*rand.NormFloat64() - spread*spread/2)
		return min(time.Duration(f*float64(mean)), most)
	}
}

func noDistance(_, _ *member) time.Duration { return 500 * time.Microsecond }

// tankerbook returns the figures of the deployment of that name.
func tankerbook() settings {
	return settings{
		slots: 5, queue: 24, connections: 60, opening: 12 * time.Millisecond, applyLag: 8 * time.Millisecond, promotion: time.Second,
		beat: 1200 * time.Millisecond, work: drawnWork(33*time.Millisecond, 82*time.Millisecond), distance: noDistance,
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
