package serve

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/asynclog"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/platform"
	"github.com/dragonflypick/dragonflypick/platformdaemon"
)

// logSettingsChanges reads the settings again at each hangup and logs whether they have
// changed. Changes take effect only when the process is restarted.
func logSettingsChanges(x context.Context, hangups <-chan os.Signal, path string, s platform.Settings, l hclog.Logger) error {
	for {
		select {
		case <-x.Done():
			return nil
		case <-hangups:
		}
		n, err := platform.ReadSettings(path)
		if err != nil {
			l.Error("settings read failed", "error", err)
			continue
		}
		l.Info("settings reloaded", "changed", !reflect.DeepEqual(n, s))
	}
}

// runOnPlatform runs the daemon of package fleet with the settings file of the
// users' platform. Of the flags, only --secret, --peer-advertise, --log-level and
// --log-every apply.
func runOnPlatform(x context.Context, o *Options, path string) error {
	// A hangup ends a process that doesn't wait for it.
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return &command.FlagError{Reason: err.Error()}
	}
	k := &settingsChecker{}
	k.requireSet("--secret", o.Secret)
	if o.PeerAdvertise != "" {
		k.requireAddress("--peer-advertise", o.PeerAdvertise)
		s.PeerAdvertise = o.PeerAdvertise
	}
	if err := k.err(); err != nil {
		return err
	}
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	w := asynclog.New(o.factory.Streams.Out)
	l := hclog.New(&hclog.LoggerOptions{Name: "dragonflypick", Level: hclog.LevelFromString(o.Log.Level), JSONFormat: true, Output: w})
	y, end := context.WithCancel(context.WithoutCancel(x))
	g, y := errgroup.WithContext(y)
	g.Go(func() error { return w.Run(y) })
	g.Go(func() error { return logSettingsChanges(y, c, path, s, l) })
	g.Go(func() error {
		defer end()
		return platformdaemon.Run(x, platformdaemon.Config{Settings: s, Secret: o.Secret, LogEvery: o.LogEvery, Log: l})
	})
	return g.Wait()
}
