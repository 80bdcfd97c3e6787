// Package kv is a stand-in for the platform's key-value service, with the part
// of Consul's HTTP API that package consul uses: compare-and-swap, sessions
// with a time to live, and blocking queries.
package kv

import (
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Pair is a key with its value, encoded as in the service's JSON.
type Pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// session is a session with a time to live; the keys that it holds are deleted
// when it ends.
type session struct {
	ttl     time.Duration
	expires time.Time
}

// Store holds keys, values and sessions. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	index    uint64
	pairs    map[string]Pair
	sessions map[string]*session
	// changed is closed and replaced at every change of a key.
	changed chan struct{}
	// history holds the snapshots of the lagging prefix, oldest first.
	history []snapshot
	// copies are the states that Restore can bring back, oldest first; never empty.
	copies        []storeCopy
	laggingPrefix string
	lag           time.Duration
}

// snapshot is the state of the lagging prefix from a time on.
type snapshot struct {
	at    time.Time
	index uint64
	pairs []Pair
}

// NewStore returns an empty store. A read of keys under prefix returns their
// state as it was lag before the read.
func NewStore(prefix string, lag time.Duration) *Store {
	s := &Store{
		index: 1, pairs: map[string]Pair{}, sessions: map[string]*session{},
		changed: make(chan struct{}), laggingPrefix: prefix, lag: lag,
	}
	s.keepCopy(time.Now())
	return s
}

// recordChange wakes blocking queries after a change of key, keeps a copy, and adds
// a snapshot if the key is under the lagging prefix; s.mu is held.
func (s *Store) recordChange(key string, now time.Time) {
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lag > 0 && strings.HasPrefix(key, s.laggingPrefix) {
		s.history = append(s.history, snapshot{at: now, index: s.index, pairs: s.pairsWithPrefix(s.laggingPrefix)})
	}
	s.keepCopy(now)
}

func (s *Store) pairsWithPrefix(prefix string) []Pair {
	var o []Pair
	for k, p := range s.pairs {
		if strings.HasPrefix(k, prefix) {
			o = append(o, p)
		}
	}
	return o
}

// Get returns the pair of a key, or with recurse all pairs whose keys begin with
// it, and the index for a blocking query: the pair's ModifyIndex, or the store's
// index with recurse or without a pair.
func (s *Store) Get(key string, recurse bool, now time.Time) ([]Pair, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions(now)
	if s.lag > 0 && strings.HasPrefix(key, s.laggingPrefix) {
		return s.getLagging(key, recurse, now)
	}
	if recurse {
		return s.pairsWithPrefix(key), s.index
	}
	p, ok := s.pairs[key]
	if !ok {
		return nil, s.index
	}
	return []Pair{p}, p.ModifyIndex
}

// getLagging reads the lagging prefix as it was s.lag before now, and drops older
// snapshots from the history; s.mu is held.
func (s *Store) getLagging(key string, recurse bool, now time.Time) ([]Pair, uint64) {
	i := -1
	for n, h := range s.history {
		if now.Sub(h.at) >= s.lag {
			i = n
		}
	}
	if i < 0 {
		return nil, 1
	}
	s.history = s.history[i:]
	var o []Pair
	for _, p := range s.history[0].pairs {
		if p.Key == key || recurse && strings.HasPrefix(p.Key, key) {
			o = append(o, p)
		}
	}
	return o, s.history[0].index
}

// Put writes a key if the conditions hold, and reports whether they held.
func (s *Store) Put(key string, value []byte, q Condition, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions(now)
	p := s.pairs[key]
	if q.CAS != nil && *q.CAS != p.ModifyIndex {
		return false
	}
	if q.Acquire != "" && (s.sessions[q.Acquire] == nil || p.Session != "" && p.Session != q.Acquire) {
		return false
	}
	if q.Release != "" && p.Session != q.Release {
		return false
	}
	s.index++
	n := Pair{Key: key, Value: value, ModifyIndex: s.index, Session: p.Session}
	if q.Acquire != "" {
		n.Session = q.Acquire
	}
	if q.Release != "" {
		n.Session = ""
	}
	s.pairs[key] = n
	s.recordChange(key, now)
	return true
}

// Condition holds the conditions of a write; the zero value sets none.
type Condition struct {
	// CAS is the ModifyIndex that the key must have; zero requires that the key
	// doesn't exist. Nil sets no condition.
	CAS *uint64
	// Acquire is the ID of a session that becomes the key's holder. The session
	// must exist and no other session may hold the key.
	Acquire string
	// Release is the ID of the session that must hold the key and stops holding
	// it.
	Release string
}

// Delete deletes a key and reports whether the condition held: with cas, the key
// must have this ModifyIndex, or not exist if it is zero.
func (s *Store) Delete(key string, cas *uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions(now)
	p, ok := s.pairs[key]
	if cas != nil && *cas != p.ModifyIndex {
		return false
	}
	if ok {
		s.index++
		delete(s.pairs, key)
		s.recordChange(key, now)
	}
	return true
}

// CreateSession creates a session and returns its ID.
func (s *Store) CreateSession(ttl time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uuid.NewString()
	s.sessions[id] = &session{ttl: ttl, expires: now.Add(ttl)}
	s.keepCopy(now)
	return id
}

// RenewSession extends a session by its time to live, and reports whether the
// session exists.
func (s *Store) RenewSession(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions(now)
	l, ok := s.sessions[id]
	if ok {
		l.expires = now.Add(l.ttl)
	}
	return ok
}

// DestroySession ends a session and deletes the keys that it holds.
func (s *Store) DestroySession(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeSession(id, now)
}

// removeSession removes a session and deletes the keys that it holds; s.mu is
// held.
func (s *Store) removeSession(id string, now time.Time) {
	delete(s.sessions, id)
	for k, p := range s.pairs {
		if p.Session == id {
			s.index++
			delete(s.pairs, k)
			s.recordChange(k, now)
		}
	}
}

// expireSessions ends sessions whose time to live has passed; s.mu is held.
func (s *Store) expireSessions(now time.Time) {
	for id, l := range s.sessions {
		if now.After(l.expires) {
			s.removeSession(id, now)
		}
	}
}

// Changed returns a channel that is closed at the next change of a key.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
