// Package serve implements the command that runs the daemon.
package serve

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/daemon"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/platform"
)

// Options are the flags of the command.
type Options struct {
	Listen          string             `long:"listen" env:"DRAGONFLYPICK_LISTEN" default:"127.0.0.1:6432" description:"IP address and port for callers"`
	PeerListen      string             `long:"peer-listen" env:"DRAGONFLYPICK_PEER_LISTEN" default:"127.0.0.1:6433" description:"IP address and port for other daemons"`
	PeerAdvertise   string             `long:"peer-advertise" env:"DRAGONFLYPICK_PEER_ADVERTISE" description:"IP address and port that other daemons connect to (default: that of --peer-listen)"`
	AdminListen     string             `long:"admin-listen" env:"DRAGONFLYPICK_ADMIN_LISTEN" default:"127.0.0.1:6434" description:"IP address and port for metrics, health and status"`
	ID              string             `long:"id" env:"DRAGONFLYPICK_ID" description:"Unique name of this process (default: random)"`
	Region          string             `long:"region" env:"DRAGONFLYPICK_REGION" description:"Region of this host"`
	FailureDomain   string             `long:"failure-domain" env:"DRAGONFLYPICK_FAILURE_DOMAIN" description:"Failure domain of this host"`
	Platform        string             `long:"platform" env:"DRAGONFLYPICK_PLATFORM" description:"IP address and port of the platform's key-value service"`
	Seeds           []string           `long:"seed" env:"DRAGONFLYPICK_SEEDS" env-delim:"," description:"Peer address of another daemon, used while the platform doesn't respond"`
	Authors         []string           `long:"author" env:"DRAGONFLYPICK_AUTHORS" env-delim:"," description:"Public key (name:base64) of a trusted bundle author"`
	Approvers       []string           `long:"approver" env:"DRAGONFLYPICK_APPROVERS" env-delim:"," description:"Public key (name:base64) of a trusted bundle approver"`
	Secret          string             `long:"secret" env:"DRAGONFLYPICK_SECRET" description:"Secret shared by all daemons; prefer the environment variable"`
	BackendUser     string             `long:"backend-user" env:"DRAGONFLYPICK_BACKEND_USER" default:"dragonflypick" description:"User name for backend servers"`
	BackendPassword string             `long:"backend-password" env:"DRAGONFLYPICK_BACKEND_PASSWORD" description:"Password for backend servers; prefer the environment variable"`
	DrainTimeout    time.Duration      `long:"drain-time" env:"DRAGONFLYPICK_DRAIN_TIME" default:"30s" description:"Longest time that a shutdown waits for transactions"`
	RegionLinkMbps  float64            `long:"region-link" env:"DRAGONFLYPICK_REGION_LINK" default:"5" description:"This host's share of the link between regions, in Mbit/s"`
	LogEvery        uint64             `long:"log-every" env:"DRAGONFLYPICK_LOG_EVERY" default:"1" description:"Log one in N routing decisions"`
	TLSCertificate  string             `long:"tls-certificate" env:"DRAGONFLYPICK_TLS_CERTIFICATE" description:"File of the certificate chain for callers"`
	TLSKey          string             `long:"tls-key" env:"DRAGONFLYPICK_TLS_KEY" description:"File of the certificate's key"`
	Log             factory.LogOptions `group:"Logging"`

	factory *factory.Factory
}

// NewCmdServe returns the command. Tests pass runF to replace serveRun.
func NewCmdServe(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = serveRun
	}
	return &command.Command{
		Name: "serve", Short: "Run the daemon", Options: o,
		Long: "Run one proxy daemon until SIGTERM or SIGINT, then drain it.",
		Example: `dragonflypick serve --region west --failure-domain west-1 --platform 127.0.0.1:8500 \
  --author anna:BASE64 --approver ops:BASE64 --secret SECRET`,
		Run: func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

// serveRun runs the daemon of package daemon, or that of package fleet if the
// environment variable of platform.SettingsVariable names a settings file.
func serveRun(x context.Context, o *Options) error {
	if p := os.Getenv(platform.SettingsVariable); p != "" {
		return runOnPlatform(x, o, p)
	}
	c, err := o.config()
	if err != nil {
		return err
	}
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(c)
	if err != nil {
		return err
	}
	return d.Run(x)
}

// bytesPerMegabit is the number of bytes in a megabit.
const bytesPerMegabit = 1e6 / 8

// config returns the daemon's configuration, or an error that lists every
// invalid setting.
func (o *Options) config() (daemon.Config, error) {
	k := &settingsChecker{}
	c := daemon.Config{
		Host: membership.Host{ID: o.ID, Region: o.Region, FailureDomain: o.FailureDomain}, CallerListen: o.Listen,
		PeerListen: o.PeerListen, PeerAdvertise: o.PeerAdvertise, AdminListen: o.AdminListen, PlatformAddress: o.Platform, Seeds: o.Seeds, Secret: o.Secret,
		BackendUser: o.BackendUser, BackendPassword: o.BackendPassword, DrainTimeout: o.DrainTimeout,
		RegionLinkRate: o.RegionLinkMbps * bytesPerMegabit, LogEvery: o.LogEvery,
		Log: o.factory.Logger("dragonflypick", o.Log),
	}
	if c.Host.ID == "" {
		c.Host.ID = uuid.NewString()
	}
	k.requireAddress("--listen", o.Listen)
	k.requireAddress("--peer-listen", o.PeerListen)
	k.requireAddress("--admin-listen", o.AdminListen)
	if o.PeerAdvertise != "" {
		k.requireAddress("--peer-advertise", o.PeerAdvertise)
	}
	k.requireAddress("--platform", o.Platform)
	for _, s := range o.Seeds {
		k.requireAddress("--seed", s)
	}
	k.requireSet("--region", o.Region)
	k.requireSet("--failure-domain", o.FailureDomain)
	k.requireSet("--secret", o.Secret)
	var err error
	if c.Trust, err = bundle.ParseTrust(o.Authors, o.Approvers); err != nil {
		k.addProblem("--author and --approver: " + err.Error())
	}
	if o.RegionLinkMbps <= 0 {
		k.addProblem("--region-link must be above zero")
	}
	if o.DrainTimeout <= 0 {
		k.addProblem("--drain-time must be above zero")
	}
	c.TLS = k.loadCertificate(o.TLSCertificate, o.TLSKey)
	return c, k.err()
}

// settingsChecker collects the problems found in settings.
type settingsChecker struct{ problems []string }

func (k *settingsChecker) addProblem(s string) { k.problems = append(k.problems, s) }

func (k *settingsChecker) requireSet(flag, v string) {
	if v == "" {
		k.addProblem(flag + " must be set")
	}
}

func (k *settingsChecker) requireAddress(flag, a string) {
	h, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(h) == nil {
		k.addProblem(flag + " must be an IP address with a port, not \"" + a + "\"")
	}
}

func (k *settingsChecker) loadCertificate(cert, key string) *tls.Config {
	if cert == "" && key == "" {
		return nil
	}
	p, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		k.addProblem("--tls-certificate and --tls-key: " + err.Error())
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{p}, MinVersion: tls.VersionTLS12}
}

// err returns an error that lists all problems, or nil if there are none.
func (k *settingsChecker) err() error {
	if len(k.problems) == 0 {
		return nil
	}
	return &command.FlagError{Reason: "invalid settings:\n  " + strings.Join(k.problems, "\n  ")}
}
