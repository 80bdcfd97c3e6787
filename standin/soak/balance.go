package soak

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// readinessInterval is how often the balancer asks each daemon; maxMisses misses in
	// a row take it out of rotation.
	readinessInterval = time.Second
	maxMisses         = 2
)

// balance checks the daemons' readiness as the platform's balancer does, until the
// context ends.
func (s *platformSystem) balance(x context.Context) {
	for ; x.Err() == nil; sleep(x, readinessInterval) {
		var g errgroup.Group
		for _, d := range s.daemons {
			g.Go(func() error {
				ok := isReady(x, d.readiness)
				s.mu.Lock()
				defer s.mu.Unlock()
				if d.misses++; ok {
					d.misses = 0
				}
				return nil
			})
		}
		_ = g.Wait()
	}
}

func isReady(x context.Context, address string) bool {
	y, stop := context.WithTimeout(x, readinessTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(y, http.MethodGet, "http://"+address+"/api/readiness", nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// rotation returns the addresses to which the balancer sends new connections: those of
// all daemons if fewer than half are ready.
func (s *platformSystem) rotation() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready, all []string
	for _, d := range s.daemons {
		all = append(all, d.callers)
		if d.misses < maxMisses {
			ready = append(ready, d.callers)
		}
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}
