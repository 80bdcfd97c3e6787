package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// layout is where the daemons of a case run.
type layout struct {
	// domains holds the failure domain of each daemon.
	domains []string
	// oneRegion puts all failure domains into one region.
	oneRegion bool
	// promotionTime is how long a promotion takes; promotionTime if it is zero.
	promotionTime time.Duration
}

func (l layout) promotion() time.Duration { return cmp.Or(l.promotionTime, promotionTime) }

// system is the running system.
type system struct {
	record  *record
	dir     string
	site    *site.Site
	members map[string]*tap
	fronts  []*tap
	daemons []*daemon
	// platform is what the promotion service has seen.
	platform *platformView
	layout   layout
	report   chan *site.LoadReport
}

// daemon is a daemon's machine.
type daemon struct {
	name, settings, readiness string
	gate                      *gate
	process                   *exec.Cmd
}

// program returns the command of the deploy file.
func program() string {
	if p := os.Getenv("DRAGONFLYPICK"); p != "" {
		return p
	}
	return "target/dragonflypick"
}

func start(r *record, l layout) (*system, error) {
	d, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, dir: d, members: map[string]*tap{}, platform: &platformView{}, layout: l, report: make(chan *site.LoadReport, 1)}
	s.platform.promoted = func(string) { time.AfterFunc(l.promotion()+stopTime, s.stopReplaced) }
	s.site, err = site.New(site.Config{
		Groups: 1, Lag: 20 * time.Millisecond, StatementTime: 2 * time.Millisecond, PromotionTime: l.promotion(),
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

// Ports for daemons are below those that the system gives to outgoing connections.
const (
	firstPort = 13_000
	lastPort  = 30_000
)

// freeAddresses returns n different addresses that are free.
func freeAddresses(n int) ([]string, error) {
	var o []string
	for range lastPort {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if o = append(o, l.Addr().String()); len(o) == n {
			return o, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", n)
}

// portsPerDaemon is the number of addresses of a daemon, with that of its metrics.
const portsPerDaemon = 4

func (s *system) startDaemons() error {
	l, err := freeAddresses(portsPerDaemon * len(s.layout.domains))
	if err != nil {
		return err
	}
	controls := l[:len(s.layout.domains)]
	l = l[len(controls):]
	for i, d := range s.layout.domains {
		if err := s.startDaemon(i, d, controls, l[(portsPerDaemon-1)*i:]); err != nil {
			return err
		}
	}
	for t := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, d := range s.daemons {
			if isReady(d.readiness) {
				n++
			}
		}
		if n == len(s.daemons) {
			return nil
		}
		if time.Since(t) > startTime {
			return fmt.Errorf("%d of %d daemons are ready", n, len(s.daemons))
		}
	}
}

func (s *system) startDaemon(i int, domain string, controls, l []string) error {
	d := &daemon{name: fmt.Sprintf("front-%s-%d", domain, i+1), readiness: l[1]}
	var err error
	if d.gate, err = newGate(d.name, s.site.PromotionAddress, s.platform, s.record); err != nil {
		return err
	}
	region, zones := site.Regions[domain], "{west-a: west, west-b: west, north-a: north}"
	if s.layout.oneRegion {
		region, zones = "west", "{west-a: west, west-b: west, north-a: west}"
	}
	_, port, _ := net.SplitHostPort(l[2])
	d.settings = fmt.Sprintf(`node: %q
role: "proxy"
ip: "127.0.0.1"
zone: %q
region: %q
zones: %s
listen_addresses: {front: %q, readiness_address: %q, control: %q}
internal_ports: [%s, %s]
seeds: [%q, %q, %q]
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, file_descriptors: 4200}
heartbeat_ms: 1200
contracts: [base, drain, config, cost, recover, sql, platform]
bounds: {drain_ms: 7000, grace_s: 6, config_apply_ms: 4000, stable_window_ms: 5000}
platform: {address: %q, form: kv, writes_per_s: 400, reads_per_s: 2000, min_ttl_ms: 1000}
cloud: {address: %q, duties: [promotion], duty_per_s: 50}
`, d.name, domain, region, zones, l[0], l[1], controls[i], port, port, controls[0], controls[1], controls[2], s.site.StoreAddress, d.gate.address())
	s.daemons = append(s.daemons, d)
	if err := s.run(d, true); err != nil {
		return err
	}
	p, err := newTap(d.name, l[0], s.record)
	if err != nil {
		return err
	}
	s.fronts = append(s.fronts, p)
	return nil
}

// run starts a daemon's process, with the command of the deploy file.
func (s *system) run(d *daemon, bootstrap bool) error {
	f := filepath.Join(s.dir, d.name+".yaml")
	if err := os.WriteFile(f, fmt.Appendf(nil, "%sbootstrap: %t\n", d.settings, bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	d.process = c
	return nil
}

// kill ends a daemon's process with SIGKILL.
func (d *daemon) kill() {
	_ = d.process.Process.Kill()
	_ = d.process.Wait()
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

// Timing of promotions: a replaced primary continues until a second after it can reach the
// new one.
const (
	promotionTime = 300 * time.Millisecond
	stopTime      = time.Second
)

// stopReplaced makes replaced primaries follow the new one, as the members do by themselves:
// the stand-in of a member waits for DEMOTE, which does nothing at the newest primary.
func (s *system) stopReplaced() {
	for _, t := range s.members {
		c, err := net.Dial("tcp", t.target)
		if err != nil {
			continue
		}
		_, _ = fmt.Fprint(c, "START g0 replication\r\nQUERY - DEMOTE 1000\r\n")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		r := bufio.NewReader(c)
		for n := 0; n < 2; {
			m, err := readMessage(r)
			if err != nil {
				break
			}
			if strings.HasPrefix(m, "READY") {
				n++
			}
		}
		_ = c.Close()
	}
}

func (s *system) stop() {
	for _, d := range s.daemons {
		if d.process != nil {
			d.kill()
		}
		_ = d.gate.listener.Close()
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
