// Package load runs the load generator.
package load

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/load"
)

// Options are the flags of the command.
type Options struct {
	Addresses  []string      `long:"address" required:"true" description:"Caller address of a daemon, on loopback"`
	Admins     []string      `long:"admin" description:"Admin address of a daemon, for replica share and region bytes"`
	User       string        `long:"user" default:"shop" description:"Caller's name"`
	Password   string        `long:"password" env:"DRAGONFLYPICK_LOAD_PASSWORD" description:"Caller's password"`
	Group      string        `long:"group" default:"orders" description:"Database group"`
	Urgent     float64       `long:"urgent" default:"100" description:"Orders a second"`
	Routine    float64       `long:"routine" default:"100" description:"Look-ups a second"`
	Background float64       `long:"background" default:"20" description:"Reports a second"`
	Sessions   int           `long:"sessions" default:"30" description:"Sessions"`
	Duration   time.Duration `long:"duration" default:"10s" description:"Duration, at most 10m"`
	Roam       int           `long:"roam" default:"10" description:"Operations after which a session moves to another daemon; 0 never"`
	Keyed      bool          `long:"keyed" description:"Give orders idempotency keys"`
	Repeats    int           `long:"repeats" default:"5" description:"How often a keyed order in doubt is repeated"`
	Seed       uint64        `long:"seed" default:"1" description:"Seed"`
	JSON       bool          `long:"json" description:"Print the report as JSON"`

	factory *factory.Factory
}

// NewCmdLoad returns the command; runF replaces its work in tests.
func NewCmdLoad(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = loadRun
	}
	return &command.Command{
		Name: "load", Short: "Put a bounded load on daemons and check every answer", Options: o,
		Long:    "Exits with 4 if an acknowledged order is lost, an order doubled, one that was \"not run\" was run, or a read was stale.",
		Example: "standin load --address 127.0.0.1:6001 --address 127.0.0.1:6002 --password amber --duration 10s",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func loadRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := load.Config{
		Addresses: o.Addresses, Admins: o.Admins, User: o.User, Password: o.Password, Group: o.Group,
		Rates:    [bundle.RankCount]float64{o.Urgent, o.Routine, o.Background},
		Sessions: o.Sessions, Duration: o.Duration, MoveEvery: o.Roam, Keyed: o.Keyed, Repeats: o.Repeats, Seed: o.Seed,
	}
	s := o.factory.Streams
	if s.Terminal && !o.JSON {
		c.Progress = func(r load.Report) { s.Errf("\r%4.0f s  %d orders ", r.Elapsed, r.Orders) }
	}
	r, err := load.Run(x, c)
	if err != nil {
		return err
	}
	if o.JSON {
		err = s.JSON(r)
	} else {
		r.Print(s.Out)
	}
	if err == nil && r.HasViolations() {
		return &command.SilentError{Code: command.ExitCheck}
	}
	return err
}
