package kv

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin platform")

// Limits and intervals of the service.
const (
	// maxValueSize is the maximum size of a value in bytes.
	maxValueSize = 1 << 20
	// maxWait is the maximum wait of a blocking query.
	maxWait = time.Minute
	// pollInterval is the interval at which a blocking query also reads again
	// without a change, since a change under the lagging prefix becomes visible
	// only after the lag.
	pollInterval = 50 * time.Millisecond
)

// Fault is a set of faults that can be set at run time.
type Fault struct {
	// Down makes every call fail with status 503, also blocking queries that are
	// waiting.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of further writes that are applied, but whose
	// connection is closed without an answer.
	LoseAnswers int
}

// Counts are the numbers of calls since the server's start.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Failed int64 `json:"failed"`
}

// Config holds the server's settings.
type Config struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// HostPrefix is the prefix of the keys that are read with a lag: the list of
	// hosts.
	HostPrefix string
	// HostLag is the lag of reads under HostPrefix.
	HostLag time.Duration
}

// Server serves a Store over HTTP.
type Server struct {
	listener net.Listener
	store    *Store

	mu     sync.Mutex
	fault  Fault
	counts Counts
}

// NewServer creates a server and opens its listening socket.
func NewServer(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Server{listener: l, store: NewStore(c.HostPrefix, c.HostLag)}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetFault replaces the server's faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Run serves until the context ends.
func (s *Server) Run(c context.Context) error {
	h := &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return c }}
	g, c := errgroup.WithContext(c)
	g.Go(func() error {
		<-c.Done()
		return h.Close()
	})
	g.Go(func() error { return h.Serve(s.listener) })
	err := g.Wait()
	if c.Err() != nil {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) handler() http.Handler {
	x := http.NewServeMux()
	x.HandleFunc("GET /v1/kv/{key...}", s.withFaults(s.handleGet, false))
	x.HandleFunc("PUT /v1/kv/{key...}", s.withFaults(s.handlePut, true))
	x.HandleFunc("DELETE /v1/kv/{key...}", s.withFaults(s.handleDelete, true))
	x.HandleFunc("PUT /v1/session/create", s.withFaults(s.handleCreateSession, true))
	x.HandleFunc("PUT /v1/session/renew/{id}", s.withFaults(s.handleRenewSession, true))
	x.HandleFunc("PUT /v1/session/destroy/{id}", s.withFaults(s.handleDestroySession, true))
	x.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	x.HandleFunc("POST /standin/fault", s.handleFault)
	x.HandleFunc("POST /standin/restore", s.handleRestore)
	return x
}

// withFaults wraps a handler: it counts each call and applies the faults to it.
func (s *Server) withFaults(h http.HandlerFunc, write bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, lose := s.countCall(write)
		if f.Delay > 0 {
			sleep(r.Context(), f.Delay)
		}
		if f.Down {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if !lose {
			h(w, r)
			return
		}
		h(discardResponse{}, r)
		panic(http.ErrAbortHandler)
	}
}

// discardResponse discards the response to a call whose answer is lost.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// countCall counts a call and returns the faults that apply to it, and whether its
// answer is to be lost.
func (s *Server) countCall(write bool) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	if f.Down {
		s.counts.Failed++
		return f, false
	}
	if write && f.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return f, true
	}
	return f, false
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	_, recurse := q["recurse"]
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	d, err := time.ParseDuration(q.Get("wait"))
	if err != nil || d > maxWait {
		d = maxWait
	}
	end := time.Now().Add(d)
	for {
		n := s.store.Changed()
		p, i := s.store.Get(r.PathValue("key"), recurse, time.Now())
		if s.down() {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if after == 0 || i > after || !time.Now().Before(end) || r.Context().Err() != nil {
			s.writePairs(w, p, i)
			return
		}
		t := time.NewTimer(min(pollInterval, time.Until(end)))
		select {
		case <-n:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
	}
}

// down reports whether calls fail now; blocking queries check it before each
// answer.
func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Down
}

func (s *Server) writePairs(w http.ResponseWriter, p []Pair, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(p) == 0 {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	writeJSON(w, p)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValueSize+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(b) > maxValueSize {
		http.Error(w, "value is over 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	x := Condition{CAS: parseIndex(q.Get("cas")), Acquire: q.Get("acquire"), Release: q.Get("release")}
	writeJSON(w, s.store.Put(r.PathValue("key"), b, x, time.Now()))
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.store.Delete(r.PathValue("key"), parseIndex(r.URL.Query().Get("cas")), time.Now()))
}

func (s *Server) handleCreateSession(w http.ResponseWriter, r *http.Request) {
	var v struct{ TTL string }
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d, err := time.ParseDuration(v.TTL)
	if err != nil || d <= 0 {
		http.Error(w, "TTL must be a duration", http.StatusBadRequest)
		return
	}
	writeJSON(w, struct{ ID string }{s.store.CreateSession(d, time.Now())})
}

func (s *Server) handleRenewSession(w http.ResponseWriter, r *http.Request) {
	if !s.store.RenewSession(r.PathValue("id"), time.Now()) {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	writeJSON(w, true)
}

func (s *Server) handleDestroySession(w http.ResponseWriter, r *http.Request) {
	s.store.DestroySession(r.PathValue("id"), time.Now())
	writeJSON(w, true)
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.FormValue("delay"))
	if err != nil && r.FormValue("delay") != "" {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, err := strconv.Atoi(r.FormValue("lose-answers"))
	if err != nil && r.FormValue("lose-answers") != "" {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(Fault{Down: r.FormValue("down") == "true", Delay: d, LoseAnswers: n})
}

// Restore brings the store back to its state some time ago.
func (s *Server) Restore(age time.Duration) { s.store.Restore(age, time.Now()) }

func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.FormValue("age"))
	if err != nil || d < 0 || d > copyRetention {
		http.Error(w, "age must be a duration of at most "+copyRetention.String(), http.StatusBadRequest)
		return
	}
	s.Restore(d)
}

func parseIndex(s string) *uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return nil
	}
	return &n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}

// KeyPath returns the request path of a key.
func KeyPath(k string) string { return "/v1/kv/" + strings.TrimPrefix(k, "/") }
