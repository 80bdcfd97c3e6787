// Command standin plays a small deployment on loopback: the platform's store and
// promotion call, databases and clients, with the daemons as processes of their own. It
// exits with 1 if the rule of the scenario was broken, 0 if it held and 2 if the
// scenario couldn't run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) event(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// site is a running deployment.
type site struct {
	*record
	dir     string
	trouble bool
	store   *store
	groups  []*group
	hosts   []*host
	cloud   string
	address string
	sync    int

	mu       sync.Mutex
	problems []string
}

// host is a daemon's process.
type host struct {
	name, zone                    string
	front, ready, control, metric string
	settings                      string
	cmd                           *exec.Cmd
	out                           *os.File
	ended                         chan struct{}
}

// zones are the zones of the members and daemons, regions the region of each.
var (
	zones   = []string{"west-a", "west-b", "north-a"}
	regions = map[string]string{"west-a": "west", "west-b": "west", "north-a": "north"}
)

func (s *site) broken(format string, a ...any) {
	s.event("BROKEN "+format, a...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, a...))
}

func (s *site) isBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.problems) > 0
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// newSite starts the platform and the databases, and writes the configuration.
func newSite(r *record, set settings, services int) (*site, error) {
	s := &site{record: r, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	current = s
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.address, err = serve(s.store.handler()); err != nil {
		return nil, err
	}
	if s.cloud, err = serve(http.HandlerFunc(s.promotion)); err != nil {
		return nil, err
	}
	var routes, list []map[string]any
	for i := range services {
		n := "svc" + strconv.Itoa(i)
		g, err := newGroup(n, set, s.store, zones, r.event)
		if err != nil {
			return nil, err
		}
		s.groups = append(s.groups, g)
		list = append(list, map[string]any{"name": n, "connection_cap": set.connections, "sync_replicas": set.syncReplicas})
		routes = append(routes, map[string]any{
			"host": "db" + strconv.Itoa(i), "kind": "primary", "service": n, "timeout_ms": 1000, "target_latency_ms": 1000, "max_staleness_ms": 0, "priority": 0,
		})
	}
	b, err := json.Marshal(map[string]any{"version": 7, "routes": routes, "services": list, "limits": map[string]any{"transaction_idle_ms": 10000}})
	if err != nil {
		return nil, err
	}
	s.store.put("op/config", b, 0)
	return s, nil
}

// promotion answers POST /promotion.
func (s *site) promotion(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, g := range s.groups {
		if g.name != q.Service {
			continue
		}
		ok := g.promote(q.ID)
		s.event("promotion of %s asked by %s, token %s, accepted %v", q.ID, r.Header.Get("Dragonflypick-Duty-Holder"), r.Header.Get("Dragonflypick-Fencing-Token"), ok)
		if ok {
			w.WriteHeader(http.StatusOK)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// freePorts returns free ports on loopback.
func freePorts(n int) ([]string, error) {
	var l []net.Listener
	var o []string
	defer func() {
		for _, x := range l {
			_ = x.Close()
		}
	}()
	for range n {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		l = append(l, x)
		_, p, _ := net.SplitHostPort(x.Addr().String())
		o = append(o, p)
	}
	return o, nil
}

// addHosts prepares a daemon in each zone.
func (s *site) addHosts() error {
	for _, z := range zones {
		p, err := freePorts(4)
		if err != nil {
			return err
		}
		h := &host{name: "front-" + z, zone: z, front: "127.0.0.1:" + p[0], ready: "127.0.0.1:" + p[1], control: "127.0.0.1:" + p[2], metric: p[3]}
		h.settings = filepath.Join(s.dir, h.name+".yaml")
		s.hosts = append(s.hosts, h)
	}
	return nil
}

const settingsText = `node: %q
role: "proxy"
machine_class: "front"
serves: ["front", "control"]
ip: "127.0.0.1"
zone: %q
region: %q
zones: {"west-a": "west", "west-b": "west", "north-a": "north"}
listen_addresses:
  front: %q
  readiness_address: %q
  control: %q
internal_ports: [%s, %s]
seeds: [%q]
bootstrap: %v
counts_in_tolerance: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, file_descriptors: 4200, link_mbps: 1000.0, disk_mb: 0}
data_directory: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"]
tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 5000, acknowledge_ms: 6000, catch_up_s: 4, drain_ms: 7000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 4000, rollback_slack_ms: 250, max_stretch_ms: 15000, recovery_s: 12, fencing_required: false, thaw_slack_ms: 300}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
cloud: {address: %q, rate_per_s: 50.0, duties: ["promotion"], duty_per_s: 50.0}
`

// startHost starts a daemon with the command of the deploy file.
func (s *site) startHost(h *host, bootstrap bool) error {
	t := fmt.Sprintf(settingsText, h.name, h.zone, regions[h.zone], h.front, h.ready, h.control, h.metric, h.metric, s.hosts[0].control, bootstrap, s.address, s.cloud)
	if err := os.WriteFile(h.settings, []byte(t), 0o600); err != nil {
		return err
	}
	var err error
	if h.out, err = os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command("target/dragonflypick", "serve", "--log-every", "20")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "DRAGONFLYPICK_CONFIG=" + h.settings, "DRAGONFLYPICK_SECRET=peers-of-one-fleet"}
	h.cmd.Stdout, h.cmd.Stderr = h.out, h.out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, e chan struct{}) {
		_ = c.Wait()
		close(e)
	}(h.cmd, h.ended)
	s.event("%s starts as process %d", h.name, h.cmd.Process.Pid)
	return nil
}

// start starts all daemons and waits until they are ready.
func (s *site) start() error {
	if err := s.addHosts(); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if err := s.startHost(h, true); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if !h.awaitReady(20 * time.Second) {
			return errors.New(h.name + " doesn't become ready")
		}
	}
	s.event("all daemons are ready")
	return nil
}

func (h *host) awaitReady(d time.Duration) bool {
	c := http.Client{Timeout: time.Second}
	for t := time.Now(); time.Since(t) < d; time.Sleep(50 * time.Millisecond) {
		a, err := c.Get("http://" + h.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// current is the running site, for stopAll.
var current *site

// stopAll ends all processes that the scenario started.
func stopAll() {
	s := current
	if s == nil {
		return
	}
	for _, h := range s.hosts {
		if h.ended != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	run, ok := scenarios[os.Args[1]]
	f, err := os.Create(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such scenario, or no record:", os.Args[1], err)
		os.Exit(2)
	}
	r := &record{f: f, start: time.Now()}
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		r.event("the scenario is ended by a signal")
		stopAll()
		os.Exit(2)
	}()
	s, err := run(r)
	stopAll()
	_ = f.Close()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case s.isBroken():
		fmt.Println("broken:", s.problems[0])
		os.Exit(1)
	default:
		fmt.Println("held")
	}
}
