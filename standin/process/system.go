package process

import (
	"context"
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
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// Names and passwords in the system.
const (
	Group           = "orders"
	BackendPassword = "backend"
	region          = "west"
	peerSecret      = "loopback"
)

// Timeouts and intervals of starting and stopping.
const (
	startTimeout      = 20 * time.Second
	startPollInterval = 50 * time.Millisecond
	stopTimeout       = 5 * time.Second
	statusTimeout     = time.Second
)

// Config holds a system's settings.
type Config struct {
	Programs Programs
	// Dir is the folder for logs.
	Dir string
	// Daemons is the number of daemons, placed alternately in two failure domains.
	Daemons int
	// Groups is the number of groups; the first is named Group.
	Groups int
	// Members is the number of members of each group.
	Members int
	// Embedded runs the members within this process instead of as processes.
	Embedded bool
	// Slots and Connections are each member's maximum numbers of concurrent
	// statements and of connections.
	Slots       int
	Connections int
	// StatementCost and ConnectCost are the times that each member takes for a
	// statement and for a new connection.
	StatementCost time.Duration
	ConnectCost   time.Duration
	// Callers is the maximum number of callers of a daemon.
	Callers int
	// Deadline is the deadline of all ranks; zero keeps those of
	// cluster.NewBundle.
	Deadline time.Duration
	// LogLevel is the daemons' log level.
	LogLevel string
	// Relays places a relay in front of the platform, every member and every
	// daemon's peer address; otherwise the Relay fields are nil.
	Relays bool
	// RelayKeepAlive is the setting KeepAlive of the relays.
	RelayKeepAlive time.Duration
}

// DefaultConfig returns the settings of the system that the README describes.
func DefaultConfig() Config {
	return Config{
		Daemons: 3, Groups: 1, Members: 3, Slots: 3, Connections: 20, StatementCost: time.Millisecond,
		ConnectCost: 12 * time.Millisecond, Callers: 10000, LogLevel: "info",
	}
}

// Daemon is a daemon process.
type Daemon struct {
	*Process
	CallerAddress string
	AdminAddress  string
	// Relay forwards connections to the daemon's peer address; nil without relays.
	Relay *relay.Relay

	peerListen, advertised, failureDomain string
}

// System is a running system.
type System struct {
	Config   Config
	Platform *Process
	// PlatformRelay forwards the daemons' connections to the platform; nil without
	// relays.
	PlatformRelay *relay.Relay
	Members       []*Member
	Daemons       []*Daemon

	// platformListen is the platform's own address.
	platformListen string
	// platformAddress is the address of the platform that daemons connect to.
	platformAddress string
	// embedded runs the members within this process; stopEmbedded ends them.
	embedded     *errgroup.Group
	stopEmbedded context.CancelFunc
	starter      *Starter
	authorKey    *bundle.Key
	approverKey  *bundle.Key
	bundle       *bundle.Bundle
	ports        *Ports
}

// Start starts a system and returns when it is ready: every daemon has the
// bundle and one has a confirmed primary.
func Start(x context.Context, c Config) (*System, error) {
	s := &System{Config: c, starter: NewStarter(), ports: &Ports{}}
	if err := s.start(x); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(x context.Context) error {
	var err error
	if s.authorKey, err = bundle.NewKey("author"); err != nil {
		return err
	}
	if s.approverKey, err = bundle.NewKey("approver"); err != nil {
		return err
	}
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startMembers(); err != nil {
		return err
	}
	if err := s.pushFirstBundle(x); err != nil {
		return err
	}
	for range s.Config.Daemons {
		if _, err := s.StartDaemon(); err != nil {
			return err
		}
	}
	return s.waitUntil(x, s.ready)
}

func (s *System) startPlatform() error {
	a, err := s.ports.FreeAddress()
	if err != nil {
		return err
	}
	if s.Platform, err = s.starter.Start(s.Config.Dir, "platform", s.Config.Programs.Standin, nil, "platform", "--listen", a, "--host-lag", "200ms"); err != nil {
		return err
	}
	s.platformListen = a
	s.PlatformRelay, s.platformAddress, err = s.startRelay(a)
	return err
}

// RestorePlatform brings the platform's store back to its state some time ago.
func (s *System) RestorePlatform(x context.Context, age time.Duration) error {
	return s.controlPlatform(x, "restore?age="+age.String())
}

// LosePlatformAnswers makes the platform apply the next n writes without an answer.
func (s *System) LosePlatformAnswers(x context.Context, n int) error {
	return s.controlPlatform(x, "fault?lose-answers="+strconv.Itoa(n))
}

func (s *System) controlPlatform(x context.Context, call string) error {
	x, stop := context.WithTimeout(x, statusTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+s.platformListen+"/standin/"+call, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return Error.Wrap(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return Error.Wrap(&FaultError{Call: call, Status: r.Status})
	}
	return nil
}

// startRelay starts a relay to target if Config.Relays is set. It returns the
// address that other processes are to use: the relay's, or target.
func (s *System) startRelay(target string) (*relay.Relay, string, error) {
	if !s.Config.Relays {
		return nil, target, nil
	}
	a, err := s.ports.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	r, err := relay.Start(relay.Config{Listen: a, Target: target, KeepAlive: s.Config.RelayKeepAlive})
	return r, a, err
}

func stopRelay(r *relay.Relay) {
	if r != nil {
		r.Stop()
	}
}

func failureDomain(i int) string { return region + "-" + strconv.Itoa(i%2+1) }

// StartDaemon starts one more daemon.
func (s *System) StartDaemon() (*Daemon, error) {
	d := &Daemon{}
	var l [3]string
	var err error
	for i := range l {
		if l[i], err = s.ports.FreeAddress(); err != nil {
			return nil, err
		}
	}
	d.CallerAddress, d.AdminAddress = l[0], l[2]
	d.peerListen, d.failureDomain = l[1], failureDomain(len(s.Daemons))
	if d.Relay, d.advertised, err = s.startRelay(l[1]); err != nil {
		return nil, err
	}
	n := "daemon-" + strconv.Itoa(len(s.Daemons)+1)
	if err := s.RestartDaemon(d, n); err != nil {
		stopRelay(d.Relay)
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	return d, nil
}

// RestartDaemon starts a process with the given unique ID at the addresses of a daemon
// whose process has ended.
func (s *System) RestartDaemon(d *Daemon, id string) error {
	e := []string{"DRAGONFLYPICK_BACKEND_PASSWORD=" + BackendPassword, "DRAGONFLYPICK_SECRET=" + peerSecret}
	p, err := s.starter.Start(s.Config.Dir, id, s.Config.Programs.Dragonflypick, e,
		"serve", "--id", id, "--region", region, "--failure-domain", d.failureDomain,
		"--listen", d.CallerAddress, "--peer-listen", d.peerListen, "--peer-advertise", d.advertised, "--admin-listen", d.AdminAddress,
		"--platform", s.platformAddress, "--author", s.authorKey.PublicText(), "--approver", s.approverKey.PublicText(), "--log-level", s.Config.LogLevel, "--log-json")
	if err == nil {
		d.Process = p
	}
	return err
}

// PushNext pushes a bundle of the next version without another change, and returns the
// version.
func (s *System) PushNext(x context.Context) (uint64, error) {
	s.bundle.Version++
	return s.bundle.Version, s.pushBundle(x)
}

// waitUntil polls ok until it returns true, for at most startTimeout.
func (s *System) waitUntil(x context.Context, ok func() bool) error {
	t := time.Now().Add(startTimeout)
	for !ok() {
		if x.Err() != nil {
			return Error.Wrap(x.Err())
		}
		if time.Now().After(t) {
			return Error.Wrap(&StartTimeoutError{Logs: s.logTails()})
		}
		time.Sleep(startPollInterval)
	}
	return nil
}

// ready reports whether every daemon has a bundle and lists all daemons, and at
// least one reports a group with a confirmed primary.
func (s *System) ready() bool {
	confirmed := false
	for _, d := range s.Daemons {
		o, err := d.Status()
		if err != nil || o.BundleVersion == 0 || len(o.HostIDs) < len(s.Daemons) {
			return false
		}
		for _, g := range o.Groups {
			confirmed = confirmed || g.Confirmed
		}
	}
	return confirmed
}

// Status queries /status at the daemon's admin address, as operators do.
func (d *Daemon) Status() (admin.Status, error) {
	var o admin.Status
	x, stop := context.WithTimeout(context.Background(), statusTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+d.AdminAddress+"/status", nil)
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

// Stop kills all processes of the system and waits until they have ended.
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
	s.starter.Close()
	if s.stopEmbedded != nil {
		s.stopEmbedded()
		_ = s.embedded.Wait()
	}
	for _, d := range s.Daemons {
		stopRelay(d.Relay)
	}
	for _, m := range s.Members {
		stopRelay(m.Relay)
	}
	stopRelay(s.PlatformRelay)
	s.ports.Close()
}

// logTails returns the last logTailSize bytes of each log.
func (s *System) logTails() string {
	l, _ := filepath.Glob(filepath.Join(s.Config.Dir, "*.log"))
	var o strings.Builder
	for _, f := range l {
		b, _ := os.ReadFile(f)
		o.WriteString(filepath.Base(f) + ":\n")
		o.Write(b[max(0, len(b)-logTailSize):])
	}
	return o.String()
}

// logTailSize is the number of bytes of a log that logTails returns.
const logTailSize = 2 << 10

// FaultError reports a fault that a stand-in refused to inject.
type FaultError struct{ Call, Status string }

func (e *FaultError) Error() string { return "fault " + e.Call + " refused: " + e.Status }

// StartTimeoutError reports a system that wasn't ready, or a bundle that wasn't
// accepted, within startTimeout.
type StartTimeoutError struct {
	// Logs holds the last part of each process's log.
	Logs string
}

func (e *StartTimeoutError) Error() string {
	return "system not ready within " + startTimeout.String() + "\n" + e.Logs
}
