// Package admin serves metrics, health checks and status to operators over
// HTTP. All endpoints are read-only: configuration changes only by signed
// bundles.
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
var Error = errs.Class("admin")

// readHeaderTimeout bounds reading a request's header.
const readHeaderTimeout = 5 * time.Second

// Status is the status of a daemon.
type Status struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	CallerAddress string `json:"caller-address"`
	// BundleVersion is the bundle version in force; zero if none is.
	BundleVersion uint64 `json:"version"`
	BundleDigest  string `json:"digest"`
	// Callers is the number of logged-in callers.
	Callers int `json:"callers"`
	// HostIDs are the IDs of the known hosts.
	HostIDs []string `json:"hosts"`
	// Groups are the groups that the daemon monitors.
	Groups []Group `json:"groups"`
}

// Group is a monitored database group.
type Group struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	// Confirmed reports whether a majority has recently reported the term.
	Confirmed bool     `json:"confirmed"`
	Members   []Member `json:"members"`
}

// Member is a member of a monitored group.
type Member struct {
	Name      string `json:"name"`
	Role      string `json:"role"`
	Position  string `json:"position"`
	Reachable bool   `json:"reachable"`
	// Owner is the ID of the host that owns the member.
	Owner string `json:"owner"`
	// Queues are the numbers of waiting requests by rank. Only the member's
	// owner fills them in.
	Queues [bundle.RankCount]int `json:"queues"`
}

// Config holds a server's settings.
type Config struct {
	// Listen is the IP address and port for operators.
	Listen string
	Status func() Status
	// Ready reports whether a verified bundle is in force.
	Ready func() bool
	// Collectors export further metrics of the daemon.
	Collectors []prometheus.Collector
}

// Server is the HTTP server for operators.
type Server struct {
	config   Config
	listener net.Listener
	registry *prometheus.Registry
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
	return &Server{config: c, listener: l, registry: r}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until the context ends.
func (s *Server) Run(x context.Context) error {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.HandleFunc("GET /readyz", s.serveReadiness)
	m.HandleFunc("GET /status", s.serveStatus)
	h := &http.Server{Handler: m, ReadHeaderTimeout: readHeaderTimeout}
	g, x := errgroup.WithContext(x)
	g.Go(func() error {
		<-x.Done()
		return h.Close()
	})
	g.Go(func() error { return h.Serve(s.listener) })
	err := g.Wait()
	if x.Err() != nil {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.config.Ready() {
		http.Error(w, "no verified bundle", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.config.Status())
}
