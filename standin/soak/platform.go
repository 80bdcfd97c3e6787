package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/site"
)

// Settings of the system on the users' platform.
const (
	platformClients  = 16
	membersPerGroup  = 3
	graceSeconds     = 3
	drainTime        = 3 * time.Second
	lateWriteDelay   = 1500 * time.Millisecond
	replicationLag   = 15 * time.Millisecond
	faultLag         = 1500 * time.Millisecond
	startTimeout     = 20 * time.Second
	readinessTimeout = time.Second
	settingsFileMode = 0o644
)

// platformDomains are the failure domains, in the order in which daemons are placed.
var platformDomains = []string{"west-a", "west-b", "north-a"}

// platformSystem runs daemons as processes against the stand-in of the users' platform.
type platformSystem struct {
	config  Config
	site    *site.Site
	starter *process.Starter
	ports   *process.Ports
	links   *links
	daemons []*platformDaemon
	tasks   errgroup.Group
	end     context.CancelFunc

	mu sync.Mutex
	// storeDisturbed is set while the store has a fault, groupDisturbed holds the
	// groups with one.
	storeDisturbed bool
	groupDisturbed map[int]bool
	// added is the name of the database that the newest configuration added.
	added string
	// configurations counts the configurations.
	configurations int
}

// platformDaemon is the place of a daemon.
type platformDaemon struct {
	managedProcess
	// callers is the address of the relay before the daemon's address for callers.
	callers   string
	readiness string
	// misses counts the readiness checks in a row that failed; it belongs to the
	// balancer and is guarded by the system's mu.
	misses int
}

func startPlatformSystem(x context.Context, c Config) (system, error) {
	s := &platformSystem{config: c, starter: process.NewStarter(), ports: &process.Ports{}, links: newLinks(), groupDisturbed: map[int]bool{}}
	y, end := context.WithCancel(context.Background())
	s.end = end
	if err := s.start(); err != nil {
		s.stop()
		return nil, err
	}
	s.tasks.Go(func() error {
		s.balance(y)
		return nil
	})
	for t := time.Now(); len(s.rotation()) < len(s.daemons); sleep(x, readinessInterval/10) {
		if time.Since(t) > startTimeout || x.Err() != nil {
			s.stop()
			return nil, Error.Wrap(&StartError{Dir: c.Dir})
		}
	}
	return s, nil
}

// StartError reports daemons that weren't ready in time.
type StartError struct{ Dir string }

func (e *StartError) Error() string { return "daemons not ready in time; logs in " + e.Dir }

func (s *platformSystem) start() error {
	n := 0
	var err error
	s.site, err = site.New(site.Config{
		Groups: s.config.Groups, Lag: replicationLag, StatementTime: time.Millisecond, PromotionTime: 300 * time.Millisecond, AnyBytes: true, DrainTime: drainTime,
		Advertise: func(_, address string) (string, error) {
			n++
			return s.links.start(s.ports, MemberLink, n-1, address)
		},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	var seeds []string
	for i := range s.config.Daemons {
		seed, err := s.addDaemon(i, seeds)
		if err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, seed)
		}
	}
	return nil
}

// addDaemon starts a daemon and returns the address at which others reach it.
func (s *platformSystem) addDaemon(i int, seeds []string) (string, error) {
	d := &platformDaemon{managedProcess: managedProcess{name: "n" + strconv.Itoa(i), grace: (graceSeconds + 2) * time.Second}}
	domain := platformDomains[i%len(platformDomains)]
	var l [4]string
	var err error
	for k := range l {
		if l[k], err = s.ports.FreeAddress(); err != nil {
			return "", Error.Wrap(err)
		}
	}
	d.readiness = l[1]
	var storeAddress, promotionAddress, advertised string
	for _, k := range []struct {
		link   Link
		target string
		to     *string
	}{{StoreLink, s.site.StoreAddress, &storeAddress}, {PromotionLink, s.site.PromotionAddress, &promotionAddress}, {PeerLink, l[2], &advertised}, {CallerLink, l[0], &d.callers}} {
		if *k.to, err = s.links.start(s.ports, k.link, i, k.target); err != nil {
			return "", err
		}
	}
	_, metricsPort, _ := net.SplitHostPort(l[3])
	starts := 0
	d.start = func() (*process.Process, error) {
		starts++
		t := fmt.Sprintf(`node: %s
ip: 127.0.0.1
zone: %s
region: %s
zones: {west-a: west, west-b: west, north-a: north}
listen_addresses: {front: %q, readiness_address: %q, control: %q}
internal_ports: [%s, %s]
seeds: [%s]
bootstrap: %t
limits: {cores: 1, cpu_share: 1.0, memory_mb: 284}
bounds: {grace_s: %d, drain_ms: %d}
platform: {address: %q, writes_per_s: 400}
cloud: {address: %q}
`, d.name, domain, site.Regions[domain], l[0], l[1], l[2], metricsPort, metricsPort, quoted(seeds), starts == 1, graceSeconds, drainTime.Milliseconds(), storeAddress, promotionAddress)
		f := filepath.Join(s.config.Dir, d.name+".yaml")
		if err := os.WriteFile(f, []byte(t), settingsFileMode); err != nil {
			return nil, Error.Wrap(err)
		}
		return s.starter.Start(s.config.Dir, d.name, s.config.Programs.Dragonflypick, []string{"DRAGONFLYPICK_CONFIG=" + f, "DRAGONFLYPICK_SECRET=soak"},
			"serve", "--peer-advertise", advertised, "--log-every", "0")
	}
	s.daemons = append(s.daemons, d)
	return advertised, d.run()
}

func quoted(l []string) string {
	o := make([]string, len(l))
	for i, a := range l {
		o[i] = strconv.Quote(a)
	}
	return strings.Join(o, ", ")
}

func (s *platformSystem) shape() Shape {
	return Shape{
		Daemons: s.config.Daemons, Groups: s.config.Groups, Members: s.config.Groups * membersPerGroup,
		Links:        []Link{StoreLink, PromotionLink, PeerLink, CallerLink, MemberLink},
		StoreActions: []StoreAction{StoreDown, StoreSilent, LoseAnswers, LateWrites, DropHistory, StoreRestore},
		GroupActions: []GroupAction{CrashPrimary, EmptyPrimary, DrainPrimary, LagReplicas, LatePromotion},
		Stutter:      true,
	}
}

func (s *platformSystem) inject(f Fault) (end func(), ok bool) {
	s.excuseDrains(f)
	switch f := f.(type) {
	case ProcessFault:
		return s.daemons[f.Daemon].inject(f.Action)
	case LinkFault:
		return s.links.inject(f)
	case StoreFault:
		return s.injectStoreFault(f.Action)
	case GroupFault:
		return s.injectGroupFault(f)
	case Reconfigure:
		s.reconfigure()
		return func() {}, true
	case Stutter:
		return s.stutter(), true
	}
	return nil, false
}

// excuseTime is how long after the start of a fault work may reach a draining member late, since
// it was held up or its sender couldn't know.
const excuseTime = maxFaultTime + 5*time.Second

// excuseDrains lets late work at draining members pass if it may be due to a fault.
func (s *platformSystem) excuseDrains(f Fault) {
	switch f := f.(type) {
	case LinkFault, StoreFault:
		s.site.ExcuseDrains(excuseTime)
	case ProcessFault:
		if f.Action != Stop {
			s.site.ExcuseDrains(excuseTime)
		}
	}
}

// latePromotion lets the primary of a group drain, holds the call that requests the promotion of
// another member back, and kills the process that has sent it.
func (s *platformSystem) latePromotion(i int) {
	const restartTime = 300 * time.Millisecond
	late := time.Duration(s.config.Seed%4+1) * time.Second
	s.site.DelayPromotion(late, func(host string) {
		for _, d := range s.daemons {
			if d.name != host {
				continue
			}
			if end, ok := d.inject(Kill); ok {
				time.Sleep(restartTime)
				end()
			}
		}
	})
	s.site.DrainPrimary(i)
}

// stutter lets all members repeat answers until the returned function is called.
func (s *platformSystem) stutter() (end func()) {
	var l []func()
	for i := range s.config.Groups {
		l = append(l, s.site.SetStutter(i, s.config.Seed))
	}
	return func() {
		for _, f := range l {
			f()
		}
	}
}

// reconfigure writes a configuration with one more database.
func (s *platformSystem) reconfigure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configurations++
	s.added = "added-" + strconv.Itoa(s.configurations)
	s.site.Configure([]string{s.added})
}

func (s *platformSystem) injectStoreFault(a StoreAction) (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDisturbed {
		return nil, false
	}
	end = func() {}
	switch a {
	case StoreRestore:
		s.site.RestoreStore(copyAge(s.config.Seed))
		return end, true
	case DropHistory:
		s.site.CompactStore()
		return end, true
	case StoreDown:
		s.site.SetStoreFault(true, false)
		end = func() { s.site.SetStoreFault(false, false) }
	case LoseAnswers:
		s.site.SetStoreFault(false, true)
		end = func() { s.site.SetStoreFault(false, false) }
	case StoreSilent:
		s.site.SetStoreSilent(true)
		end = func() { s.site.SetStoreSilent(false) }
	case LateWrites:
		s.site.SetLateWrites(lateWriteDelay)
		end = func() { s.site.SetLateWrites(0) }
	}
	s.storeDisturbed = true
	restore := end
	return func() {
		restore()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.storeDisturbed = false
	}, true
}

func (s *platformSystem) injectGroupFault(f GroupFault) (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groupDisturbed[f.Group] {
		return nil, false
	}
	s.groupDisturbed[f.Group] = true
	restore := func() {}
	switch f.Action {
	case CrashPrimary:
		restore = s.site.CrashPrimary(f.Group)
	case EmptyPrimary:
		s.site.RestartPrimaryEmpty(f.Group)
	case DrainPrimary:
		s.site.DrainPrimary(f.Group)
		restore = func() { s.site.EndDrains(f.Group) }
	case LagReplicas:
		s.site.SetLag(faultLag)
		restore = func() { s.site.SetLag(replicationLag) }
	case LatePromotion:
		s.site.ExcuseDrains(excuseTime)
		s.latePromotion(f.Group)
		restore = func() { s.site.EndDrains(f.Group) }
	}
	return func() {
		restore()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.groupDisturbed, f.Group)
	}, true
}

func (s *platformSystem) load(_ context.Context, seed uint64, d time.Duration) (outcome, error) {
	o := s.site.RunLoad(seed, platformClients, d, s.rotation)
	s.site.VerifyWrites(o)
	return outcome{served: o.Served, refused: o.Refused, inDoubt: o.InDoubt, cut: o.Disconnected, lost: o.Lost}, nil
}

func (s *platformSystem) violations() []string {
	o := slices.Clone(s.site.Violations())
	for _, d := range s.daemons {
		o = append(o, d.check()...)
	}
	return o
}

// checkWhole returns the daemons that aren't ready, or that don't serve the newest
// configuration.
func (s *platformSystem) checkWhole(x context.Context) []string {
	var o []string
	for _, d := range s.daemons {
		if !isReady(x, d.readiness) {
			o = append(o, "WHOLE: "+d.name+" isn't ready after the calm")
		} else if a := s.connect(d.callers); s.added != "" && !strings.HasPrefix(a, "READY") {
			o = append(o, fmt.Sprintf("CONFIG: %s answers %q for %s after the calm", d.name, a, s.added))
		}
	}
	return o
}

// connect returns the first message that a caller of the newest database gets.
func (s *platformSystem) connect(address string) string {
	c, err := net.DialTimeout("tcp", address, readinessTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * readinessTimeout))
	if _, err := fmt.Fprintf(c, "START %s who\r\n", s.added); err != nil {
		return err.Error()
	}
	k, fields, err := site.ReadMessage(bufio.NewReader(c))
	if err != nil {
		return err.Error()
	}
	return k + " " + fields
}

func (s *platformSystem) stop() {
	s.end()
	_ = s.tasks.Wait()
	for _, d := range s.daemons {
		d.kill()
	}
	s.starter.Close()
	s.links.stop()
	s.ports.Close()
	if s.site != nil {
		s.site.Close()
	}
}
