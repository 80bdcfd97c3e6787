package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/hosted"
	"github.com/dragonflypick/dragonflypick/logline"
	"github.com/dragonflypick/dragonflypick/platform"
)

// hostedRun runs the daemon with the settings file of the users' platform.
func hostedRun(x context.Context, o *Options, path string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return &command.FlagError{Reason: err.Error()}
	}
	if o.Secret == "" {
		return &command.FlagError{Reason: "settings are wrong:\n  --secret must be set"}
	}
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	w := logline.New(o.factory.Streams.Out)
	l := hclog.New(&hclog.LoggerOptions{Name: "dragonflypick", Level: hclog.LevelFromString(o.Log.Level), JSONFormat: true, Output: w})
	y, end := context.WithCancel(context.WithoutCancel(x))
	g, y := errgroup.WithContext(y)
	g.Go(func() error { return w.Run(y) })
	g.Go(func() error {
		defer end()
		return hosted.Run(x, hosted.Config{Settings: s, Secret: o.Secret, Log: l})
	})
	return g.Wait()
}
