// Package load implements the command that runs the load generator.
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
	Addresses      []string      `long:"address" required:"true" description:"Caller address of a daemon, on loopback"`
	Admins         []string      `long:"admin" description:"Admin address of a daemon, queried for the replica share and the region bytes"`
	User           string        `long:"user" default:"shop" description:"Caller's name"`
	Password       string        `long:"password" env:"DRAGONFLYPICK_LOAD_PASSWORD" description:"Caller's password"`
	Group          string        `long:"group" default:"orders" description:"Database group"`
	UrgentRate     float64       `long:"urgent" default:"100" description:"Orders per second"`
	RoutineRate    float64       `long:"routine" default:"100" description:"Lookups per second"`
	BackgroundRate float64       `long:"background" default:"20" description:"Reports per second"`
	Sessions       int           `long:"sessions" default:"30" description:"Number of sessions"`
	Duration       time.Duration `long:"duration" default:"10s" description:"Duration, at most 10m"`
	MoveEvery      int           `long:"roam" default:"10" description:"Number of operations after which a session moves to another daemon; 0 means never"`
	Keyed          bool          `long:"keyed" description:"Give orders idempotency keys"`
	Repeats        int           `long:"repeats" default:"5" description:"Maximum number of retries of a keyed order in doubt"`
	Seed           uint64        `long:"seed" default:"1" description:"Seed of the load"`
	JSON           bool          `long:"json" description:"Print the report as JSON"`

	factory *factory.Factory
}

// NewCmdLoad returns the command. Tests pass runF to replace loadRun.
func NewCmdLoad(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = loadRun
	}
	return &command.Command{
		Name: "load", Short: "Put a bounded load on daemons and verify every response", Options: o,
		Long:    "Exits with 4 if an acknowledged order was lost, an order was run twice, an order reported as \"not run\" was run, or a read was stale.",
		Example: "standin load --address 127.0.0.1:6001 --address 127.0.0.1:6002 --password amber --duration 10s",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func loadRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := load.Config{
		Addresses: o.Addresses, AdminAddresses: o.Admins, User: o.User, Password: o.Password, Group: o.Group,
		Rates:    [bundle.RankCount]float64{o.UrgentRate, o.RoutineRate, o.BackgroundRate},
		Sessions: o.Sessions, Duration: o.Duration, MoveEvery: o.MoveEvery, Keyed: o.Keyed, Repeats: o.Repeats, Seed: o.Seed,
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
		return &command.SilentError{Code: command.ExitCheckFailed}
	}
	return err
}
