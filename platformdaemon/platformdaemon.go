// Package platformdaemon configures and runs the daemon of package fleet on the
// users' platform: it applies the process's limits, serves callers, readiness and
// metrics, and drains the daemon at shutdown. Package platform implements the
// platform's protocols.
package platformdaemon

import (
	"context"
	"math"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/fleet"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/platform"
)

// Fractions of the process's memory limit and of its grace period.
const (
	// memoryLimitFraction is the fraction of the process's memory limit that is
	// set as the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	// Fractions of the grace period from SIGTERM to SIGKILL after which callers'
	// idle connections are closed, open transactions are ended, and the process
	// exits.
	closeIdleFraction = 0.42
	terminateFraction = 0.5
	exitFraction      = 0.85
)

// Config holds the settings.
type Config struct {
	Settings platform.Settings
	Secret   string
	// LogEvery is passed to fleet.Config.
	LogEvery uint64
	Log      hclog.Logger
}

// Run runs the daemon until the context ends, and then drains it.
func Run(x context.Context, c Config) error {
	s := c.Settings
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(math.Round(float64(s.MemoryBytes) * memoryLimitFraction)))
	}
	id := s.Host + "." + uuid.NewString()[:8]
	address := s.PeerListen
	if s.PeerAdvertise != "" {
		address = s.PeerAdvertise
	}
	c.Log.Info("daemon starting", "host", id, "failure-domain", s.FailureDomain, "region", s.Region, "cores", s.Cores, "memory", s.MemoryBytes)
	f, err := fleet.New(fleet.Config{
		Self:       membership.Host{ID: id, PeerAddress: address, FailureDomain: s.FailureDomain, Region: s.Region, Weight: float64(s.Cores) * s.CPUShare},
		PeerListen: s.PeerListen, Secret: c.Secret, Seeds: s.Seeds, Log: c.Log, LogEvery: c.LogEvery,
		Bootstrap: s.Bootstrap, StoreWritesPerSecond: s.StoreWritesPerSecond,
		Store: platform.NewStoreClient(s.StoreAddress), Promoter: platform.NewPromotionClient(s.PromotionAddress),
		Dialer: platform.MemberDialer{Name: s.Host}, Decoder: newDecoder(s), DrainTime: s.DrainTime, Features: s.Features,
	})
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{SessionPrefix: id, Catalog: f.CallerCatalog, Router: f, Limiter: f.Limiter(), Denied: f.CountDenied})
	k, err := platform.NewCallerServer(platform.CallerServerConfig{Listen: s.CallerListen, Entry: e, Log: c.Log})
	if err != nil {
		return err
	}
	return runServers(x, c, f, k)
}

func newDecoder(s platform.Settings) fleet.Decoder {
	return fleet.Decoder{
		ConfigurationKey: platform.ConfigurationKey, MemberPrefix: platform.MemberPrefix,
		Configuration: platform.DecodeConfiguration, Redact: platform.RedactConfiguration,
		Member: func(key string, value []byte) (catalog.Member, uint64, error) {
			return platform.DecodeMember(key, value, s.Regions)
		},
		Status: platform.ParseStatus,
	}
}

// runServers runs all servers of the daemon until one of them fails or the drain
// is complete.
func runServers(x context.Context, c Config, f *fleet.Daemon, k *platform.CallerServer) error {
	y, stop := context.WithCancel(context.WithoutCancel(x))
	defer stop()
	var draining atomic.Bool
	g, y := errgroup.WithContext(y)
	g.Go(func() error { return f.Run(y) })
	g.Go(func() error { return k.Run(y) })
	g.Go(func() error {
		return platform.ServeReadiness(y, c.Settings.ReadinessListen, func() bool { return !draining.Load() && f.Ready() })
	})
	g.Go(func() error { return closeIdleWhileCutOff(y, c, f, k) })
	g.Go(func() error { return platform.ServeHTTP(y, c.Settings.MetricsListen, operatorHandler(f)) })
	g.Go(func() error {
		select {
		case <-x.Done():
		case <-y.Done():
			return nil
		}
		draining.Store(true)
		drainDaemon(y, c, f, k)
		stop()
		return nil
	})
	err := g.Wait()
	c.Log.Info("daemon stopped", "error", err)
	return err
}

// Timing of a daemon that is cut off from the others.
const (
	// cutOffCheckInterval is how often the daemon checks whether it is cut
	// off.
	cutOffCheckInterval = 250 * time.Millisecond
	// cutOffTimeout is how long the daemon is cut off before it closes
	// callers' idle connections, and the interval at which it repeats this
	// while cut off. The callers reconnect through the load balancer, which
	// removes this daemon after two failed readiness checks, one per second.
	cutOffTimeout = 2500 * time.Millisecond
)

// closeIdleWhileCutOff closes callers' idle connections while the daemon is cut
// off from the others.
func closeIdleWhileCutOff(x context.Context, c Config, f *fleet.Daemon, k *platform.CallerServer) error {
	t := time.NewTicker(cutOffCheckInterval)
	defer t.Stop()
	var since time.Time
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		switch {
		case !f.CutOff():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
			c.Log.Warn("cut off from the other daemons", "callers", k.ConnectionCount())
		case time.Since(since) > cutOffTimeout:
			c.Log.Info("closing idle caller connections", "callers", k.ConnectionCount())
			k.CloseIdle()
			since = time.Now()
		}
	}
}

// drainDaemon hands over the groups whose lease the host holds and the members
// that it owns, and meanwhile closes the callers' connections.
func drainDaemon(x context.Context, c Config, f *fleet.Daemon, k *platform.CallerServer) {
	t := time.Now()
	at := func(fraction float64) time.Time {
		return t.Add(time.Duration(fraction * float64(c.Settings.GracePeriod)))
	}
	x, stop := context.WithDeadline(x, at(exitFraction))
	defer stop()
	c.Log.Info("drain started", "callers", k.ConnectionCount(), "grace-ms", c.Settings.GracePeriod.Milliseconds())
	var w errgroup.Group
	w.Go(func() error {
		f.Drain(x)
		return nil
	})
	waitUntil(x, at(closeIdleFraction))
	k.SetPhase(platform.Draining)
	waitUntil(x, at(terminateFraction))
	k.SetPhase(platform.Terminating)
	for k.ConnectionCount() > 0 && x.Err() == nil {
		waitUntil(x, time.Now().Add(drainPollInterval))
	}
	_ = w.Wait()
	c.Log.Info("drain finished", "callers", k.ConnectionCount(), "took-ms", time.Since(t).Milliseconds())
}

// drainPollInterval is how often the drain checks for remaining callers.
const drainPollInterval = 20 * time.Millisecond

// waitUntil waits until t or the end of the context.
func waitUntil(x context.Context, t time.Time) {
	y, stop := context.WithDeadline(x, t)
	defer stop()
	<-y.Done()
}

// operatorHandler serves operators: metrics, and explanations of decisions.
func operatorHandler(f *fleet.Daemon) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(f.Collectors()...)
	m := http.NewServeMux()
	m.Handle("/", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	m.Handle("GET "+explanation.Path, explanation.Handler(f.Explain))
	return m
}
