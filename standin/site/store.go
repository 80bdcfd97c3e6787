package site

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

// item is a key as the store sends it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// kv is the metadata store.
type kv struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// oldest is the first revision whose history is kept.
	oldest uint64
	leases map[uint64]time.Time
	ttls   map[uint64]time.Duration
	next   uint64
	// down refuses all calls; lose drops the answers to writes that took place.
	down, lose bool
	changed    chan struct{}
}

func newKV() *kv {
	return &kv{
		items: map[string]item{}, revision: 1, oldest: 1, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
		changed: make(chan struct{}),
	}
}

// put writes a key; k.mu is held.
func (k *kv) put(key string, value []byte, lease uint64) {
	k.revision++
	i := item{Key: key, Value: value, Revision: k.revision, Created: k.items[key].Created, Lease: lease}
	if i.Created == 0 {
		i.Created = k.revision
	}
	k.items[key] = i
	k.note(i)
}

// remove drops a key; k.mu is held.
func (k *kv) remove(key string) {
	if _, ok := k.items[key]; ok {
		k.revision++
		delete(k.items, key)
		k.note(item{Key: key, Revision: k.revision, Removed: true})
	}
}

func (k *kv) note(i item) {
	k.history = append(k.history, i)
	close(k.changed)
	k.changed = make(chan struct{})
}

// expire ends leases; k.mu is held.
func (k *kv) expire() {
	for l, t := range k.leases {
		if time.Now().Before(t) {
			continue
		}
		delete(k.leases, l)
		for _, key := range slices.Sorted(maps.Keys(k.items)) {
			if k.items[key].Lease == l {
				k.remove(key)
			}
		}
	}
}

// compact forgets the history.
func (k *kv) compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history, k.oldest = nil, k.revision+1
}

func (k *kv) set(down, lose bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down, k.lose = down, lose
}

func (k *kv) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", k.key)
	m.HandleFunc("GET /api/kv-range", k.list)
	m.HandleFunc("GET /api/kv-watch", k.watch)
	m.HandleFunc("POST /api/kv-txn", k.txn)
	m.HandleFunc("POST /api/kv-lease", k.grant)
	m.HandleFunc("POST /api/kv-keep/{id}", k.keep)
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", k.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		down := k.down
		k.expire()
		k.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.ServeHTTP(w, r)
	})
}

func send(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (k *kv) key(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	i, ok := k.items[r.URL.Query().Get("key")]
	k.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	send(w, http.StatusOK, i)
}

func (k *kv) list(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := []item{}
	for _, key := range slices.Sorted(maps.Keys(k.items)) {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			l = append(l, k.items[key])
		}
	}
	send(w, http.StatusOK, map[string]any{"items": l, "has_more": false, "store_revision": k.revision})
}

func (k *kv) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		k.mu.Lock()
		if after+1 < k.oldest {
			k.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		l := []item{}
		for _, i := range k.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				l = append(l, i)
			}
		}
		rev, c := k.revision, k.changed
		k.mu.Unlock()
		if len(l) > 0 {
			send(w, http.StatusOK, map[string]any{"events": l, "store_revision": rev})
			return
		}
		select {
		case <-c:
		case <-end:
			send(w, http.StatusOK, map[string]any{"events": l, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (k *kv) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Removals     []string `json:"removals"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range t.Precondition {
		if k.items[p.Key].Revision != p.Revision {
			i := k.items[p.Key]
			i.Key = p.Key
			send(w, http.StatusPreconditionFailed, map[string]any{"items": []item{i}})
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := k.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		k.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Removals {
		k.remove(key)
	}
	if k.lose {
		panic(http.ErrAbortHandler)
	}
	send(w, http.StatusOK, map[string]any{"revision": k.revision})
}

func (k *kv) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	k.ttls[k.next] = time.Duration(t.TTL) * time.Millisecond
	k.leases[k.next] = time.Now().Add(k.ttls[k.next])
	send(w, http.StatusOK, map[string]any{"lease": k.next, "ttl_ms": t.TTL})
}

func (k *kv) lease(r *http.Request) (uint64, bool) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	_, ok := k.leases[id]
	return id, ok
}

func (k *kv) keep(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, ok := k.lease(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	k.leases[id] = time.Now().Add(k.ttls[id])
	send(w, http.StatusOK, map[string]any{"ttl_ms": k.ttls[id].Milliseconds()})
}

func (k *kv) end(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if id, ok := k.lease(r); ok {
		k.leases[id] = time.Time{}
	}
	k.expire()
	send(w, http.StatusOK, struct{}{})
}
