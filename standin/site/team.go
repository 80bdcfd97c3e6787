package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// keyApplyTime is how long after a key was changed statements may still run for the team
// that held it before. The operator allows twice as long.
const keyApplyTime = 3 * time.Second

// keyPrefix begins each client's key, and no other text.
const keyPrefix = "secret-key-"

// holding is a time from which a team has held a key; team is empty if none does.
type holding struct {
	team string
	from time.Time
}

// teamName returns the name of team i.
func teamName(i int) string { return fmt.Sprintf("team%d", i) }

// ClientKey returns the key of the i-th client of a load.
func ClientKey(i int) string { return fmt.Sprintf("%s%d", keyPrefix, i) }

// initKeys gives the keys of the first clients to the teams by turns.
func (s *Site) initKeys() {
	for i := range s.config.Teams * keysPerTeam {
		s.keys[ClientKey(i)] = []holding{{team: teamName(i % s.config.Teams)}}
	}
}

// keysPerTeam is the number of keys of each team.
const keysPerTeam = 3

// MoveKey gives the key of the i-th client to a team, and withdraws it if team is empty.
func (s *Site) MoveKey(i int, team string) {
	s.mu.Lock()
	k := ClientKey(i)
	s.keys[k] = append(s.keys[k], holding{team: team, from: time.Now()})
	s.mu.Unlock()
	s.Configure(nil)
}

// TeamName returns the name of the i-th team.
func (s *Site) TeamName(i int) string { return teamName(i % s.config.Teams) }

// tenants returns the teams as the configuration encodes them; s.mu is held.
func (s *Site) tenants() []map[string]any {
	var o []map[string]any
	for i := range s.config.Teams {
		n := teamName(i)
		l := []string{}
		for k, h := range s.keys {
			if h[len(h)-1].team == n {
				l = append(l, k)
			}
		}
		slices.Sort(l)
		o = append(o, map[string]any{"name": n, "api_keys": l, "rate_per_s": 100_000, "burst": 100_000})
	}
	return o
}

// mayRunFor reports whether a statement that a client with a key sent may run for a
// team; s.mu is held.
func (s *Site) mayRunFor(key, team string, sent time.Time) bool {
	l := s.keys[key]
	for i, h := range l {
		ended := i < len(l)-1 && l[i+1].from.Add(keyApplyTime).Before(sent)
		if h.team != "" && h.team == team && !ended {
			return true
		}
	}
	return false
}

// checkTeam reports a statement that runs on a connection that was opened in another
// name than that of the team which held the client's key (UNASKED).
func (s *Site) checkTeam(a *statement, who string) {
	if s.config.Teams == 0 {
		return
	}
	s.mu.Lock()
	ok := s.mayRunFor(a.key, who, a.sent)
	s.mu.Unlock()
	if !ok {
		s.reportViolation("UNASKED", "%s of a client with %s ran in the name of %s", a.id, a.key, who)
	}
}

// checkName reports a key that is passed on to a member.
func (s *Site) checkName(who string) {
	if strings.HasPrefix(who, keyPrefix) {
		s.reportViolation("UNASKED", "the key %s was passed on", who)
	}
}

// SetTurnedAway sets whether the store refuses the calls at TurnedAwayAddress.
func (s *Site) SetTurnedAway(away bool) { s.turnedAway.Store(away) }

// turnAway refuses the calls to a handler while SetTurnedAway asks for it.
func (s *Site) turnAway(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}
