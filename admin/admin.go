// Package admin serves operators: metrics, health and status, all
// read-only. Behaviour changes by signed bundles only.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Error is the class of all failures of this package.
var Error = errs.Class("operator")

// headerTimeout bounds reading a request's header.
const headerTimeout = 5 * time.Second

// Status is what operators see of a daemon.
type Status struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	CallerAddress string `json:"caller-address"`
	// Version is the bundle version in force; zero if none is.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Callers is the number of logged-in callers.
	Callers int `json:"callers"`
	// Hosts are the IDs of the known hosts.
	Hosts []string `json:"hosts"`
	// Groups are the groups that the daemon watches.
	Groups []Group `json:"groups"`
}

// Group is a watched database group.
type Group struct {
	Name      string   `json:"name"`
	Term      uint64   `json:"term"`
	Primary   string   `json:"primary"`
	Confirmed bool     `json:"confirmed"`
	Members   []Member `json:"members"`
}

// Member is a member of a watched group.
type Member struct {
	Name      string `json:"name"`
	Role      string `json:"role"`
	Position  string `json:"position"`
	Reachable bool   `json:"reachable"`
	// Owner is the ID of the host that owns the member.
	Owner string `json:"owner"`
	// Queues are the numbers of waiting requests by rank, if this daemon owns
	// the member.
	Queues [bundle.RankCount]int `json:"queues"`
}

// Config holds a server's settings.
type Config struct {
	// Listen is the IP address and port for operators.
	Listen string
	Status func() Status
	Ready  func() bool
	// Collectors are metrics of the daemon's parts.
	Collectors []prometheus.Collector
}

// Server serves operators.
type Server struct {
	c Config
	l net.Listener
	r *prometheus.Registry
}

// New returns a server with an open listening socket.
func New(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &statusCollector{status: c.Status})
	r.MustRegister(c.Collectors...)
	return &Server{c: c, l: l, r: r}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.l.Addr().String() }

// Run serves until the context ends.
func (s *Server) Run(x context.Context) error {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(s.r, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.HandleFunc("GET /readyz", s.ready)
	m.HandleFunc("GET /status", s.status)
	h := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	g, x := errgroup.WithContext(x)
	g.Go(func() error {
		<-x.Done()
		return h.Close()
	})
	g.Go(func() error { return h.Serve(s.l) })
	err := g.Wait()
	if x.Err() != nil {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.c.Ready() {
		http.Error(w, "no verified bundle", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.c.Status())
}
