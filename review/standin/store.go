package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswer is the time that the platform's store takes for an answer.
const storeAnswer = 4 * time.Millisecond

// item is a key of the store, or the event of its change.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	leaseEnd  map[uint64]time.Time
	leaseTTL  map[uint64]time.Duration
	lastLease uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{
		items: map[string]item{}, revision: 1, leaseEnd: map[uint64]time.Time{},
		leaseTTL: map[uint64]time.Duration{}, changed: make(chan struct{}),
	}
}

// put writes a key.
func (k *store) put(key string, value []byte, lease uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.putLocked(key, value, lease)
}

func (k *store) putLocked(key string, value []byte, lease uint64) {
	k.revision++
	i := item{Key: key, Value: value, Revision: k.revision, Created: k.items[key].Created, Lease: lease}
	if i.Created == 0 {
		i.Created = k.revision
	}
	k.items[key] = i
	k.record(i)
}

// remove deletes a key if it exists.
func (k *store) remove(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeLocked(key)
}

func (k *store) removeLocked(key string) {
	if _, ok := k.items[key]; !ok {
		return
	}
	k.revision++
	delete(k.items, key)
	k.record(item{Key: key, Revision: k.revision, Removed: true})
}

func (k *store) record(i item) {
	k.history = append(k.history, i)
	close(k.changed)
	k.changed = make(chan struct{})
}

// expire ends the leases that have run out.
func (k *store) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for l, t := range k.leaseEnd {
		if time.Now().Before(t) {
			continue
		}
		delete(k.leaseEnd, l)
		for _, key := range slices.Sorted(maps.Keys(k.items)) {
			if k.items[key].Lease == l {
				k.removeLocked(key)
			}
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (k *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", k.get)
	m.HandleFunc("GET /api/kv-range", k.list)
	m.HandleFunc("GET /api/kv-watch", k.watch)
	m.HandleFunc("POST /api/kv-txn", k.change)
	m.HandleFunc("POST /api/kv-lease", k.grant)
	m.HandleFunc("POST /api/kv-keep/{id}", k.keep)
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", k.endLease)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		k.expire()
		m.ServeHTTP(w, r)
	})
}

func (k *store) get(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	i, ok := k.items[r.URL.Query().Get("key")]
	n := k.revision
	k.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Store uint64 `json:"store_revision"`
	}{i, n})
}

func (k *store) list(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := []item{}
	for _, key := range slices.Sorted(maps.Keys(k.items)) {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			l = append(l, k.items[key])
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": l, "has_more": false, "store_revision": k.revision})
}

func (k *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for late := false; ; {
		k.mu.Lock()
		l := []item{}
		for _, i := range k.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				l = append(l, i)
			}
		}
		n, c := k.revision, k.changed
		k.mu.Unlock()
		if len(l) > 0 || late {
			reply(w, http.StatusOK, map[string]any{"events": l, "store_revision": n})
			return
		}
		select {
		case <-c:
		case <-end:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (k *store) change(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Removals     []string `json:"removals"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now, holds := []item{}, true
	for _, p := range t.Precondition {
		i, ok := k.items[p.Key]
		if ok {
			now = append(now, i)
		}
		holds = holds && i.Revision == p.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range t.Puts {
		if _, ok := k.leaseEnd[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range t.Puts {
		k.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Removals {
		k.removeLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": k.revision})
}

func (k *store) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&t)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastLease++
	k.leaseTTL[k.lastLease] = time.Duration(t.TTL) * time.Millisecond
	k.leaseEnd[k.lastLease] = time.Now().Add(k.leaseTTL[k.lastLease])
	reply(w, http.StatusOK, map[string]any{"lease": k.lastLease, "ttl_ms": t.TTL})
}

func (k *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.leaseEnd[id]; !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	k.leaseEnd[id] = time.Now().Add(k.leaseTTL[id])
	reply(w, http.StatusOK, map[string]any{"ttl_ms": k.leaseTTL[id].Milliseconds()})
}

func (k *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	k.mu.Lock()
	if _, ok := k.leaseEnd[id]; ok {
		k.leaseEnd[id] = time.Time{}
	}
	k.mu.Unlock()
	k.expire()
	reply(w, http.StatusOK, struct{}{})
}
