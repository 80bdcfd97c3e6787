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

// item is a key of the store, or the event of its change, in the store's JSON
// format.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the stand-in for the platform's metadata store.
type store struct {
	mu    sync.Mutex
	items map[string]item
	// history holds the events since firstRevision.
	history  []item
	revision uint64
	// firstRevision is the first revision in the history; watches of earlier ones
	// fail.
	firstRevision uint64
	// leaseEnds and leaseTTLs hold the ends and the times to live of leases, by
	// ID.
	leaseEnds map[uint64]time.Time
	leaseTTLs map[uint64]time.Duration
	lastLease uint64
	// down refuses all calls; loseAnswers drops the answers to writes that were
	// carried out. lateWrites is how long after their arrival writes are executed,
	// without an answer; zero if they aren't late.
	down, loseAnswers bool
	lateWrites        time.Duration
	// silent is set while the store answers nobody.
	silent bool
	// changed is closed and replaced on each change.
	changed chan struct{}
	calls   StoreCalls
	// era counts how often the store has come back from a copy; copies are those
	// that it may come back from, oldest first.
	era    uint64
	copies []storeCopy
}

// storeCopy is the state of the store at a time.
type storeCopy struct {
	at       time.Time
	items    map[string]item
	revision uint64
	history  int
	// leaseEnds and leaseTTLs are those of the store, lastLease the last lease ID.
	leaseEnds map[uint64]time.Time
	leaseTTLs map[uint64]time.Duration
	lastLease uint64
}

// maxCopies is the number of copies that are kept.
const maxCopies = 1000

// keepCopy keeps the present state; k.mu is held.
func (k *store) keepCopy() {
	k.copies = append(k.copies, storeCopy{
		at: time.Now(), items: maps.Clone(k.items), revision: k.revision, history: len(k.history),
		leaseEnds: maps.Clone(k.leaseEnds), leaseTTLs: maps.Clone(k.leaseTTLs), lastLease: k.lastLease,
	})
	k.copies = k.copies[max(0, len(k.copies)-maxCopies):]
}

// restore brings the store back from a copy of the given age, in a new era. Leases have
// as long to run as when the copy was made.
func (k *store) restore(age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := time.Now().Add(-age)
	n := len(k.copies) - 1
	for n > 0 && k.copies[n].at.After(t) {
		n--
	}
	c := k.copies[n]
	k.items, k.revision, k.leaseTTLs, k.lastLease = maps.Clone(c.items), c.revision, maps.Clone(c.leaseTTLs), c.lastLease
	k.history = slices.Clip(k.history[:min(c.history, len(k.history))])
	k.leaseEnds = map[uint64]time.Time{}
	for id, e := range c.leaseEnds {
		k.leaseEnds[id] = time.Now().Add(e.Sub(c.at))
	}
	k.copies = nil
	k.era++
	k.keepCopy()
	close(k.changed)
	k.changed = make(chan struct{})
}

func newStore() *store {
	return &store{
		items: map[string]item{}, revision: 1, firstRevision: 1, leaseEnds: map[uint64]time.Time{}, leaseTTLs: map[uint64]time.Duration{},
		changed: make(chan struct{}),
	}
}

// put writes a key; k.mu is held.
func (k *store) put(key string, value []byte, lease uint64) {
	k.revision++
	i := item{Key: key, Value: value, Revision: k.revision, Created: k.items[key].Created, Lease: lease}
	if i.Created == 0 {
		i.Created = k.revision
	}
	k.items[key] = i
	k.recordEvent(i)
}

// remove deletes a key; k.mu is held.
func (k *store) remove(key string) {
	if _, ok := k.items[key]; ok {
		k.revision++
		delete(k.items, key)
		k.recordEvent(item{Key: key, Revision: k.revision, Removed: true})
	}
}

func (k *store) recordEvent(i item) {
	k.history = append(k.history, i)
	k.keepCopy()
	close(k.changed)
	k.changed = make(chan struct{})
}

// expireLeases deletes expired leases with their keys; k.mu is held.
func (k *store) expireLeases() {
	for l, t := range k.leaseEnds {
		if time.Now().Before(t) {
			continue
		}
		delete(k.leaseEnds, l)
		for _, key := range slices.Sorted(maps.Keys(k.items)) {
			if k.items[key].Lease == l {
				k.remove(key)
			}
		}
	}
}

// compact discards the history.
func (k *store) compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history, k.firstRevision = nil, k.revision+1
}

// setSilent makes the store answer no call, nor the watches that it holds, or ends this.
func (k *store) setSilent(silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = silent
	// The watches that are held look again.
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *store) setFault(down, loseAnswers bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down, k.loseAnswers = down, loseAnswers
}

func (k *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", k.counted(&k.calls.Gets, k.handleGet))
	m.HandleFunc("GET /api/kv-range", k.counted(&k.calls.Ranges, k.handleRange))
	m.HandleFunc("GET /api/kv-watch", k.counted(&k.calls.Watches, k.handleWatch))
	m.HandleFunc("POST /api/kv-txn", k.counted(&k.calls.Transactions, k.handleTransaction))
	m.HandleFunc("POST /api/kv-lease", k.counted(&k.calls.LeaseGrants, k.handleLeaseGrant))
	m.HandleFunc("POST /api/kv-keep/{id}", k.counted(&k.calls.LeaseRenewals, k.handleLeaseRenewal))
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", k.handleLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		silent := k.silent
		k.mu.Unlock()
		if silent {
			// The call gets no answer, also when the store answers others again.
			<-r.Context().Done()
			return
		}
		k.mu.Lock()
		down := k.down
		k.expireLeases()
		k.stamp(w)
		k.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// stamp adds the store's era to the header of an answer whose content is read now; k.mu
// is held.
func (k *store) stamp(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(k.era, 10))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (k *store) handleGet(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	k.stamp(w)
	i, ok := k.items[r.URL.Query().Get("key")]
	k.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (k *store) handleRange(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stamp(w)
	l := []item{}
	for _, key := range slices.Sorted(maps.Keys(k.items)) {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			l = append(l, k.items[key])
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": l, "has_more": false, "store_revision": k.revision})
}

func (k *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		k.mu.Lock()
		k.stamp(w)
		if after+1 < k.firstRevision || after > k.revision {
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
		rev, c, silent := k.revision, k.changed, k.silent
		k.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(l) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": l, "store_revision": rev})
			return
		}
		select {
		case <-c:
		case <-end:
			writeJSON(w, http.StatusOK, map[string]any{"events": l, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is a conditional change of some keys.
type transaction struct {
	Precondition []item   `json:"precondition"`
	Puts         []item   `json:"puts"`
	Removals     []string `json:"removals"`
}

func (k *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lateWrites > 0 {
		time.AfterFunc(k.lateWrites, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.execute(t)
		})
		panic(http.ErrAbortHandler)
	}
	k.stamp(w)
	status, v := k.execute(t)
	if k.loseAnswers && status == http.StatusOK {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, v)
}

// execute executes a transaction and returns the answer; k.mu is held.
func (k *store) execute(t transaction) (int, any) {
	for _, p := range t.Precondition {
		if k.items[p.Key].Revision != p.Revision {
			i := k.items[p.Key]
			i.Key = p.Key
			return http.StatusPreconditionFailed, map[string]any{"items": []item{i}}
		}
	}
	for _, p := range t.Puts {
		if _, ok := k.leaseEnds[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range t.Puts {
		k.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Removals {
		k.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": k.revision}
}

func (k *store) handleLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stamp(w)
	k.lastLease++
	k.leaseTTLs[k.lastLease] = time.Duration(t.TTL) * time.Millisecond
	k.leaseEnds[k.lastLease] = time.Now().Add(k.leaseTTLs[k.lastLease])
	writeJSON(w, http.StatusOK, map[string]any{"lease": k.lastLease, "ttl_ms": t.TTL})
}

// requestedLease returns the lease ID in the request's path, and whether the lease
// exists; k.mu is held.
func (k *store) requestedLease(r *http.Request) (uint64, bool) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	_, ok := k.leaseEnds[id]
	return id, ok
}

func (k *store) handleLeaseRenewal(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stamp(w)
	id, ok := k.requestedLease(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	k.leaseEnds[id] = time.Now().Add(k.leaseTTLs[id])
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": k.leaseTTLs[id].Milliseconds()})
}

func (k *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stamp(w)
	if id, ok := k.requestedLease(r); ok {
		k.leaseEnds[id] = time.Time{}
	}
	k.expireLeases()
	writeJSON(w, http.StatusOK, struct{}{})
}
