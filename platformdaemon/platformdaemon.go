// Package platformdaemon runs the daemon on the users' platform.
package platformdaemon

import (
	"context"
	"math"
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
	"github.com/dragonflypick/dragonflypick/fleet"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/platform"
)

// Parts of the process's limits.
const (
	// memoryPart is the part of the memory that the collector aims for.
	memoryPart = 0.6
	// Parts of the time from SIGTERM to SIGKILL: until callers' resting
	// connections are closed, until open transactions are ended, and until the
	// process ends itself.
	emptyPart = 0.42
	endPart   = 0.5
	exitPart  = 0.85
)

// Config holds the settings.
type Config struct {
	Settings platform.Settings
	Secret   string
	// LogEvery is as in fleet.Config.
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
		debug.SetMemoryLimit(int64(math.Round(float64(s.MemoryBytes) * memoryPart)))
	}
	id := s.Host + "." + uuid.NewString()[:8]
	c.Log.Info("start", "host", id, "failure-domain", s.FailureDomain, "region", s.Region, "cores", s.Cores, "memory", s.MemoryBytes)
	f, err := fleet.New(fleet.Config{
		Self:       membership.Host{ID: id, PeerAddress: s.PeerListen, FailureDomain: s.FailureDomain, Region: s.Region},
		PeerListen: s.PeerListen, Secret: c.Secret, Seeds: s.Seeds, Log: c.Log, LogEvery: c.LogEvery,
		Store: platform.NewStoreClient(s.StoreAddress), Promoter: platform.NewPromotionClient(s.PromotionAddress),
		Dialer: platform.MemberDialer{Name: s.Host}, Decoder: decoder(s),
	})
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{SessionPrefix: id, Catalog: f.Catalog, Router: f})
	k, err := platform.NewCallerServer(platform.CallerServerConfig{Listen: s.CallerListen, Entry: e, Log: c.Log})
	if err != nil {
		return err
	}
	return run(x, c, f, k)
}

func decoder(s platform.Settings) fleet.Decoder {
	return fleet.Decoder{
		ConfigurationKey: platform.ConfigurationKey, MemberPrefix: platform.MemberPrefix,
		Configuration: platform.DecodeConfiguration,
		Member: func(key string, value []byte) (catalog.Member, error) {
			return platform.DecodeMember(key, value, s.Regions)
		},
		Status: platform.ParseStatus,
	}
}

// run runs the parts together until one of them fails or the drain is over.
func run(x context.Context, c Config, f *fleet.Daemon, k *platform.CallerServer) error {
	y, stop := context.WithCancel(context.WithoutCancel(x))
	defer stop()
	var draining atomic.Bool
	g, y := errgroup.WithContext(y)
	g.Go(func() error { return f.Run(y) })
	g.Go(func() error { return k.Run(y) })
	g.Go(func() error {
		return platform.ServeReadiness(y, c.Settings.ReadinessListen, func() bool { return !draining.Load() && f.Ready() })
	})
	g.Go(func() error { return sendAway(y, c, f, k) })
	g.Go(func() error { return serveMetrics(y, c.Settings.MetricsListen, f) })
	g.Go(func() error {
		select {
		case <-x.Done():
		case <-y.Done():
			return nil
		}
		draining.Store(true)
		drain(y, c, f, k)
		stop()
		return nil
	})
	err := g.Wait()
	c.Log.Info("stop", "error", err)
	return err
}

// Timing of a daemon that is cut off from the others.
const (
	// awayPoll is how often it is looked at.
	awayPoll = 250 * time.Millisecond
	// awayTime is how long it is cut off until idle callers are closed, which
	// come back by way of the balancer; that needs two missed questions, one a
	// second.
	awayTime = 2500 * time.Millisecond
)

// sendAway lets idle callers go while the daemon is cut off.
func sendAway(x context.Context, c Config, f *fleet.Daemon, k *platform.CallerServer) error {
	t := time.NewTicker(awayPoll)
	defer t.Stop()
	var since time.Time
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		switch {
		case !f.Isolated():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
			c.Log.Warn("cut off from all other daemons", "callers", k.ConnectionCount())
		case time.Since(since) > awayTime:
			c.Log.Info("resting callers let go", "callers", k.ConnectionCount())
			k.CloseIdle()
			since = time.Now()
		}
	}
}

// drain hands over what the host holds and lets callers go.
func drain(x context.Context, c Config, f *fleet.Daemon, k *platform.CallerServer) {
	t := time.Now()
	at := func(part float64) time.Time { return t.Add(time.Duration(part * float64(c.Settings.GracePeriod))) }
	x, stop := context.WithDeadline(x, at(exitPart))
	defer stop()
	c.Log.Info("drain", "callers", k.ConnectionCount(), "grace-ms", c.Settings.GracePeriod.Milliseconds())
	var w errgroup.Group
	w.Go(func() error {
		f.Drain(x)
		return nil
	})
	until(x, at(emptyPart))
	k.SetPhase(platform.Draining)
	until(x, at(endPart))
	k.SetPhase(platform.Terminating)
	for k.ConnectionCount() > 0 && x.Err() == nil {
		until(x, time.Now().Add(pollInterval))
	}
	_ = w.Wait()
	c.Log.Info("drained", "callers", k.ConnectionCount(), "took-ms", time.Since(t).Milliseconds())
}

// pollInterval is how often the drain looks whether callers are gone.
const pollInterval = 20 * time.Millisecond

// until waits for a time or the end of the context.
func until(x context.Context, t time.Time) {
	y, stop := context.WithDeadline(x, t)
	defer stop()
	<-y.Done()
}

func serveMetrics(x context.Context, listen string, f *fleet.Daemon) error {
	r := prometheus.NewRegistry()
	r.MustRegister(f.Collectors()...)
	return platform.ServeHTTP(x, listen, promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
}
