package process

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/admin"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// Names and passwords of the system.
const (
	Group           = "orders"
	BackendPassword = "backend"
	region          = "west"
	secret          = "loopback"
)

// Timing of starts and ends.
const (
	startTimeout = 20 * time.Second
	startPoll    = 50 * time.Millisecond
	stopTimeout  = 5 * time.Second
	askTimeout   = time.Second
)

// Config holds a system's settings.
type Config struct {
	Programs Programs
	// Dir is a folder for logs.
	Dir string
	// Daemons is the number of daemons, spread over two failure domains.
	Daemons int
	// Groups is the number of groups; the first is named Group.
	Groups int
	// Members is the number of members of each group.
	Members int
	// Embedded runs the members within this process.
	Embedded bool
	// Slots and Connections are the limits of each member.
	Slots       int
	Connections int
	// StatementCost and ConnectCost are processing times of each member.
	StatementCost time.Duration
	ConnectCost   time.Duration
	// Callers is the greatest number of callers of a daemon.
	Callers int
	// Deadline is that of all ranks; zero for those of the stand-in's bundle.
	Deadline time.Duration
	// LogLevel is that of the daemons.
	LogLevel string
	// Relays puts a relay before every process; without them Relay is nil.
	Relays bool
}

// Default returns the settings of the README's processes.
func Default() Config {
	return Config{
		Daemons: 3, Groups: 1, Members: 3, Slots: 3, Connections: 20, StatementCost: time.Millisecond,
		ConnectCost: 12 * time.Millisecond, Callers: 10000, LogLevel: "info",
	}
}

// Daemon is a daemon process.
type Daemon struct {
	*Process
	Address string
	Admin   string
	// Relay stands before the daemon's peer address.
	Relay *relay.Relay
}

// System is a running system.
type System struct {
	Config   Config
	Platform *Process
	// PlatformRelay stands between the platform and all daemons.
	PlatformRelay *relay.Relay
	Members       []*Member
	Daemons       []*Daemon

	// platform is the platform's address for daemons.
	platform string
	// g and stop run and end embedded members.
	g        *errgroup.Group
	stop     context.CancelFunc
	s        *starter
	author   *bundle.Key
	approver *bundle.Key
	bundle   *bundle.Bundle
	ports    *ports
}

// Start runs a system and returns when every daemon serves.
func Start(x context.Context, c Config) (*System, error) {
	s := &System{Config: c, s: newStarter(), ports: newPorts()}
	if err := s.start(x); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(x context.Context) error {
	var err error
	if s.author, err = bundle.NewKey("author"); err != nil {
		return err
	}
	if s.approver, err = bundle.NewKey("approver"); err != nil {
		return err
	}
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startMembers(); err != nil {
		return err
	}
	if err := s.push(x); err != nil {
		return err
	}
	for range s.Config.Daemons {
		if _, err := s.StartDaemon(); err != nil {
			return err
		}
	}
	return s.await(x, s.ready)
}

func (s *System) startPlatform() error {
	a, err := s.ports.take()
	if err != nil {
		return err
	}
	if s.Platform, err = s.s.start(s.Config.Dir, "platform", s.Config.Programs.Standin, nil, "platform", "--listen", a, "--host-lag", "200ms"); err != nil {
		return err
	}
	s.PlatformRelay, s.platform, err = s.front(a)
	return err
}

// front puts a relay before an address if the settings say so, and returns the
// address that others are told.
func (s *System) front(target string) (*relay.Relay, string, error) {
	if !s.Config.Relays {
		return nil, target, nil
	}
	a, err := s.ports.take()
	if err != nil {
		return nil, "", err
	}
	r, err := relay.Start(relay.Config{Listen: a, Target: target})
	return r, a, err
}

func stopRelay(r *relay.Relay) {
	if r != nil {
		r.Stop()
	}
}

func domain(i int) string { return region + "-" + strconv.Itoa(i%2+1) }

// push signs a bundle and rolls it out, as soon as the platform answers.
func (s *System) push(x context.Context) error {
	b := cluster.NewBundle()
	b.Limits.Callers = s.Config.Callers
	if d := bundle.Duration(s.Config.Deadline); d > 0 {
		b.Ranks.Urgent.Deadline, b.Ranks.Routine.Deadline, b.Ranks.Background.Deadline = d, d, d
	}
	salt := make([]byte, 16)
	_, _ = rand.Read(salt)
	v, err := bundle.NewVerifier(cluster.CallerName, cluster.CallerPassword, salt)
	if err != nil {
		return err
	}
	b.Callers = []bundle.Caller{{Name: cluster.CallerName, Scram: v, Rank: "routine", Groups: []string{Group}}}
	b.Groups = s.groups()
	s.bundle = b
	return s.rollOut(x)
}

// Leave marks a member as leaving, in a bundle of the next version.
func (s *System) Leave(x context.Context, m *Member) error {
	s.bundle.Version++
	for i := range s.bundle.Groups {
		l := s.bundle.Groups[i].Members
		for k := range l {
			l[k].Draining = l[k].Draining || l[k].Name == m.Name
		}
	}
	return s.rollOut(x)
}

// rollOut signs the bundle and pushes it until it is accepted.
func (s *System) rollOut(x context.Context) error {
	e, err := bundle.Sign(x, s.bundle, s.author, s.approver)
	if err != nil {
		return err
	}
	c := consul.New(consul.Config{Address: s.platform})
	return s.await(x, func() bool {
		_, err := consul.Push(x, c, e, bundle.Trust{Authors: []*bundle.Key{s.author}, Approvers: []*bundle.Key{s.approver}})
		return err == nil
	})
}

// StartDaemon starts one more daemon.
func (s *System) StartDaemon() (*Daemon, error) {
	d := &Daemon{}
	var l [3]string
	var err error
	for i := range l {
		if l[i], err = s.ports.take(); err != nil {
			return nil, err
		}
	}
	d.Address, d.Admin = l[0], l[2]
	var front string
	if d.Relay, front, err = s.front(l[1]); err != nil {
		return nil, err
	}
	n := "daemon-" + strconv.Itoa(len(s.Daemons)+1)
	e := []string{"DRAGONFLYPICK_BACKEND_PASSWORD=" + BackendPassword, "DRAGONFLYPICK_SECRET=" + secret}
	d.Process, err = s.s.start(s.Config.Dir, n, s.Config.Programs.Dragonflypick, e,
		"serve", "--id", n, "--region", region, "--failure-domain", domain(len(s.Daemons)),
		"--listen", l[0], "--peer-listen", l[1], "--peer-advertise", front, "--admin-listen", l[2],
		"--platform", s.platform, "--author", s.author.PublicText(), "--approver", s.approver.PublicText(), "--log-level", s.Config.LogLevel, "--log-json")
	if err != nil {
		stopRelay(d.Relay)
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	return d, nil
}

// await waits until ok holds.
func (s *System) await(x context.Context, ok func() bool) error {
	t := time.Now().Add(startTimeout)
	for !ok() {
		if x.Err() != nil {
			return Error.Wrap(x.Err())
		}
		if time.Now().After(t) {
			return Error.Wrap(&StartError{Logs: s.tails()})
		}
		time.Sleep(startPoll)
	}
	return nil
}

// ready reports whether every daemon has the bundle and knows all others, and
// one has a confirmed primary.
func (s *System) ready() bool {
	confirmed := false
	for _, d := range s.Daemons {
		o, err := d.Status()
		if err != nil || o.Version == 0 || len(o.Hosts) < len(s.Daemons) {
			return false
		}
		for _, g := range o.Groups {
			confirmed = confirmed || g.Confirmed
		}
	}
	return confirmed
}

// Status asks a daemon for what operators see of it.
func (d *Daemon) Status() (admin.Status, error) {
	var o admin.Status
	x, stop := context.WithTimeout(context.Background(), askTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+d.Admin+"/status", nil)
	if err != nil {
		return o, Error.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return o, Error.Wrap(err)
	}
	defer func() { _ = r.Body.Close() }()
	err = json.NewDecoder(r.Body).Decode(&o)
	return o, Error.Wrap(err)
}

// Stop ends all processes of the system and waits for their end.
func (s *System) Stop() {
	var l []*Process
	for _, d := range s.Daemons {
		l = append(l, d.Process)
	}
	for _, m := range s.Members {
		if m.Process != nil {
			l = append(l, m.Process)
		}
	}
	if s.Platform != nil {
		l = append(l, s.Platform)
	}
	for _, p := range l {
		_ = p.Kill()
	}
	s.s.close()
	if s.stop != nil {
		s.stop()
		_ = s.g.Wait()
	}
	for _, d := range s.Daemons {
		stopRelay(d.Relay)
	}
	for _, m := range s.Members {
		stopRelay(m.Relay)
	}
	stopRelay(s.PlatformRelay)
}

// tails returns the ends of all logs.
func (s *System) tails() string {
	l, _ := filepath.Glob(filepath.Join(s.Config.Dir, "*.log"))
	var o strings.Builder
	for _, f := range l {
		b, _ := os.ReadFile(f)
		o.WriteString(filepath.Base(f) + ":\n")
		o.Write(b[max(0, len(b)-tailSize):])
	}
	return o.String()
}

// tailSize is the size in bytes of a log's end in an error.
const tailSize = 2 << 10

// StartError reports a system that didn't come up in time.
type StartError struct {
	// Logs holds the ends of the processes' logs.
	Logs string
}

func (e *StartError) Error() string {
	return "not ready within " + startTimeout.String() + "\n" + e.Logs
}
