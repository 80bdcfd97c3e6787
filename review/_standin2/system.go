package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/dragonflypick/dragonflypick/standin/site"
)

// The deployment: settings like those of lankaglow-orders.
const (
	clients   = 6
	startTime = 20 * time.Second
	seed      = 1
)

// domains are the failure domains of the daemons.
var domains = []string{"west-a", "west-b", "north-a"}

// system is the running system.
type system struct {
	record  *record
	dir     string
	site    *site.Site
	members map[string]*tap
	fronts  []*tap
	daemons []*exec.Cmd
	ready   []string
	report  chan *site.LoadReport
}

// program returns the command of the deploy file.
func program() string {
	if p := os.Getenv("DRAGONFLYPICK"); p != "" {
		return p
	}
	return "target/dragonflypick"
}

func start(r *record) (*system, error) {
	d, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, dir: d, members: map[string]*tap{}, report: make(chan *site.LoadReport, 1)}
	s.site, err = site.New(site.Config{
		Groups: 1, Lag: 20 * time.Millisecond, StatementTime: 2 * time.Millisecond, PromotionTime: 300 * time.Millisecond,
		Advertise: func(member, address string) (string, error) {
			t, err := newTap(member, address, r)
			if err != nil {
				return "", err
			}
			s.members[member] = t
			return t.address(), nil
		},
	})
	if err != nil {
		s.stop()
		return nil, err
	}
	if err := s.startDaemons(); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (s *system) startDaemons() error {
	var controls []string
	for range domains {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		controls = append(controls, a)
	}
	for i, d := range domains {
		if err := s.startDaemon(i, d, controls); err != nil {
			return err
		}
	}
	for t := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, a := range s.ready {
			if isReady(a) {
				n++
			}
		}
		if n == len(domains) {
			return nil
		}
		if time.Since(t) > startTime {
			return fmt.Errorf("%d of %d daemons are ready", n, len(domains))
		}
	}
}

func (s *system) startDaemon(i int, domain string, controls []string) error {
	var l [3]string
	for k := range l {
		var err error
		if l[k], err = freeAddress(); err != nil {
			return err
		}
	}
	_, port, _ := net.SplitHostPort(l[2])
	name := "front-" + domain
	f := filepath.Join(s.dir, name+".yaml")
	t := fmt.Sprintf(`node: %q
role: "proxy"
ip: "127.0.0.1"
zone: %q
region: %q
zones: {west-a: west, west-b: west, north-a: north}
listen_addresses: {front: %q, readiness_address: %q, control: %q}
internal_ports: [%s, %s]
seeds: [%q, %q, %q]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, file_descriptors: 4200}
heartbeat_ms: 1200
contracts: [base, drain, config, cost, recover, sql, platform]
bounds: {drain_ms: 7000, grace_s: 6, config_apply_ms: 4000, stable_window_ms: 5000}
platform: {address: %q, form: kv, writes_per_s: 400, reads_per_s: 2000, min_ttl_ms: 1000}
cloud: {address: %q, duties: [promotion], duty_per_s: 50}
`, name, domain, site.Regions[domain], l[0], l[1], controls[i], port, port, controls[0], controls[1], controls[2], s.site.StoreAddress, s.site.PromotionAddress)
	if err := os.WriteFile(f, []byte(t), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program(), "serve", "--log-every", "20")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "DRAGONFLYPICK_CONFIG=" + f, "DRAGONFLYPICK_SECRET=peers-of-one-fleet"}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	s.daemons, s.ready = append(s.daemons, c), append(s.ready, l[1])
	p, err := newTap(name, l[0], s.record)
	if err != nil {
		return err
	}
	s.fronts = append(s.fronts, p)
	return nil
}

func isReady(address string) bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + address + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startLoad starts the clients, which work for the duration d.
func (s *system) startLoad(d time.Duration) {
	var l []string
	for _, p := range s.fronts {
		l = append(l, p.address())
	}
	s.record.note("clients start")
	go func() { s.report <- s.site.RunLoad(seed, clients, d, func() []string { return l }) }()
}

// endLoad waits for the clients and returns how many operations were served.
func (s *system) endLoad() int {
	o := <-s.report
	s.record.note("served %d, refused %d, in doubt %d", o.Served, o.Refused, o.InDoubt)
	return o.Served
}

// primaryAt returns the member that received the last write before a time.
func (s *system) primaryAt(at time.Time) (string, bool) {
	var id string
	var last time.Time
	for m, t := range s.members {
		t.mu.Lock()
		for _, a := range t.starts {
			if a.write && a.at.Before(at) && a.at.After(last) {
				id, last = m, a.at
			}
		}
		t.mu.Unlock()
	}
	return id, id != ""
}

// countStarts returns how many statements and transactions began at a member after a time,
// and when the last one did.
func (s *system) countStarts(member string, after time.Time) (n int, last time.Time) {
	t := s.members[member]
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.starts {
		if a.at.After(after) {
			n, last = n+1, a.at
		}
	}
	return n, last
}

func (s *system) stop() {
	for _, c := range s.daemons {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	for _, p := range s.fronts {
		p.stop()
	}
	for _, t := range s.members {
		t.stop()
	}
	if s.site != nil {
		s.site.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
