package soak

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/load"
	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// Settings of the system with PostgreSQL.
const (
	postgresSessions = 24
	postgresGrace    = 35 * time.Second
	moveEvery        = 10
	orderRepeats     = 5
	// pushTimeout bounds a push of a bundle; the platform may be away meanwhile.
	pushTimeout = 25 * time.Second
	// inForceTime is how long a bundle may take to be in force on all daemons.
	inForceTime = 11 * time.Second
)

// postgresSystem runs daemons, members and the platform of the PostgreSQL edge as
// processes.
type postgresSystem struct {
	config  Config
	system  *process.System
	daemons []*managedProcess

	mu sync.Mutex
	// disturbed holds the relays and processes with a fault that lasts.
	disturbed map[any]bool
	broken    []string
	// version is the newest bundle's version; pushing is set while one is pushed.
	version uint64
	pushing bool
}

func startPostgresSystem(x context.Context, c Config) (system, error) {
	p := process.DefaultConfig()
	p.Programs, p.Dir, p.Daemons, p.Groups, p.Relays = c.Programs, c.Dir, c.Daemons, c.Groups, true
	p.RelayKeepAlive, p.Deadline = keepAlive, 4*time.Second
	y, err := process.Start(x, p)
	if err != nil {
		return nil, err
	}
	s := &postgresSystem{config: c, system: y, disturbed: map[any]bool{}, version: 1}
	for i, d := range y.Daemons {
		m := &managedProcess{name: d.Name, grace: postgresGrace, process: d.Process}
		starts := 0
		m.start = func() (*process.Process, error) {
			starts++
			err := y.RestartDaemon(d, "daemon-"+strconv.Itoa(i+1)+"-"+strconv.Itoa(starts))
			return d.Process, err
		}
		s.daemons = append(s.daemons, m)
	}
	return s, nil
}

func (s *postgresSystem) shape() Shape {
	return Shape{
		Daemons: s.config.Daemons, Groups: 1, Members: len(s.system.Members) / s.config.Groups,
		Links:        []Link{StoreLink, PeerLink, MemberLink},
		StoreActions: []StoreAction{StoreDown, StoreSilent, LoseAnswers, StoreRestore},
		GroupActions: []GroupAction{FreezePrimary, SilencePrimary},
	}
}

func (s *postgresSystem) inject(f Fault) (end func(), ok bool) {
	switch f := f.(type) {
	case ProcessFault:
		return s.daemons[f.Daemon].inject(f.Action)
	case LinkFault:
		return s.disturb(s.relayOf(f), f.Action)
	case StoreFault:
		return s.injectStoreFault(f.Action)
	case GroupFault:
		return s.injectGroupFault(f.Action)
	case Reconfigure:
		return s.push()
	}
	return nil, false
}

// lostAnswers is the number of writes in a row that the platform doesn't answer.
const lostAnswers = 4

func (s *postgresSystem) injectStoreFault(a StoreAction) (end func(), ok bool) {
	x := context.Background()
	switch a {
	case StoreSilent:
		return s.disturb(s.system.PlatformRelay, SilenceCurrent)
	case LoseAnswers:
		return func() {}, s.system.LosePlatformAnswers(x, lostAnswers) == nil
	case StoreRestore:
		return func() {}, s.system.RestorePlatform(x, copyAge(s.config.Seed)) == nil
	default:
		return s.disturb(s.system.PlatformRelay, Cut)
	}
}

func (s *postgresSystem) relayOf(f LinkFault) *relay.Relay {
	switch f.Link {
	case PeerLink:
		return s.system.Daemons[f.Target].Relay
	case MemberLink:
		return s.system.Members[f.Target].Relay
	default:
		return s.system.PlatformRelay
	}
}

// occupy marks something as disturbed, or returns false if it is already.
func (s *postgresSystem) occupy(k any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disturbed[k] {
		return false
	}
	s.disturbed[k] = true
	return true
}

func (s *postgresSystem) release(k any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.disturbed, k)
}

func (s *postgresSystem) disturb(r *relay.Relay, a LinkAction) (end func(), ok bool) {
	if !s.occupy(r) {
		return nil, false
	}
	restore := func() {}
	switch a {
	case SilenceCurrent:
		r.Silence()
	case Delay:
		r.SetDelay(slowLinkDelay)
		restore = func() { r.SetDelay(0) }
	default:
		_ = r.SetMode(relayMode(a))
		restore = func() { _ = r.SetMode(relay.Pass) }
	}
	return func() {
		restore()
		s.release(r)
	}, true
}

func (s *postgresSystem) injectGroupFault(a GroupAction) (end func(), ok bool) {
	p, _, err := s.system.Primary()
	if err != nil {
		return nil, false
	}
	if a == SilencePrimary {
		return s.disturb(p.Relay, SilenceCurrent)
	}
	if !s.occupy(p) {
		return nil, false
	}
	_ = p.Freeze()
	return func() {
		_ = p.Thaw()
		s.release(p)
	}, true
}

// push pushes a bundle of the next version, unless one is being pushed.
func (s *postgresSystem) push() (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pushing {
		return nil, false
	}
	s.pushing = true
	return func() {
		x, stop := context.WithTimeout(context.Background(), pushTimeout)
		defer stop()
		v, err := s.system.PushNext(x)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pushing = false
		if err == nil {
			s.version = v
		}
	}, true
}

func (s *postgresSystem) load(x context.Context, seed uint64, d time.Duration) (outcome, error) {
	l := load.Config{
		User: cluster.CallerName, Password: cluster.CallerPassword, Group: process.Group, Seed: seed, Sessions: postgresSessions,
		Duration: d, MoveEvery: moveEvery, Rates: [bundle.RankCount]float64{60, 60, 10}, Keyed: seed%2 == 0, Repeats: orderRepeats,
	}
	for _, d := range s.system.Daemons {
		l.Addresses = append(l.Addresses, d.CallerAddress)
	}
	r, err := load.Run(x, l)
	if err != nil {
		return outcome{}, Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range []struct {
		what string
		n    int64
	}{
		{"orders acknowledged and not stored", r.Lost},
		{"orders stored twice", r.Doubled},
		{"orders refused and stored", r.WronglyRefused},
		{"stale reads", r.Stale},
	} {
		if v.n > 0 {
			s.broken = append(s.broken, fmt.Sprintf("ORDERS: %d %s", v.n, v.what))
		}
	}
	var o outcome
	for _, k := range r.Ranks {
		o.served += int(k.Done)
		o.refused += int(k.Refused)
		o.inDoubt += int(k.InDoubt)
		o.cut += int(k.Failed)
	}
	if o.cut > 0 {
		o.lost = append(o.lost, fmt.Sprintf("%d operations ended without an answer", o.cut))
	}
	return o, nil
}

func (s *postgresSystem) violations() []string {
	s.mu.Lock()
	o := append([]string{}, s.broken...)
	s.mu.Unlock()
	for _, d := range s.daemons {
		o = append(o, d.check()...)
	}
	return o
}

// checkWhole returns the daemons on which the newest bundle isn't in force.
func (s *postgresSystem) checkWhole(x context.Context) []string {
	s.mu.Lock()
	v := s.version
	s.mu.Unlock()
	var o []string
	for t := time.Now(); ; sleep(x, readinessInterval) {
		o = nil
		for _, d := range s.system.Daemons {
			if a, err := d.Status(); err != nil || a.BundleVersion != v {
				o = append(o, fmt.Sprintf("CONFIG: %s has bundle %d, the newest is %d (%v)", d.Name, a.BundleVersion, v, err))
			}
		}
		if len(o) == 0 || time.Since(t) > inForceTime || x.Err() != nil {
			return o
		}
	}
}

func (s *postgresSystem) stop() {
	for _, d := range s.daemons {
		d.kill()
	}
	s.system.Stop()
}
