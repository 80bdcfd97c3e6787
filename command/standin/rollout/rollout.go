// Package rollout implements the command that measures how fast a pushed bundle
// takes effect on all daemons, and how many calls to the platform this costs.
package rollout

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/propagation"
)

// Options are the flags of the command.
type Options struct {
	Daemons int                `long:"daemons" default:"9" description:"Number of daemons, at most 300"`
	Domains int                `long:"domains" default:"3" description:"Number of failure domains"`
	Changes int                `long:"changes" default:"10" description:"Bundles pushed while the platform is up"`
	Outages int                `long:"outages" default:"1" description:"Outages of the platform, with a push right after each"`
	Idle    time.Duration      `long:"idle" default:"60s" description:"Time during which calls are counted without changes"`
	Outage  time.Duration      `long:"outage" default:"20s" description:"Duration of each outage"`
	JSON    bool               `long:"json" description:"Print the report as JSON"`
	Log     factory.LogOptions `group:"Logging"`

	factory *factory.Factory
}

// NewCmdRollout returns the command. Tests pass runF to replace rolloutRun.
func NewCmdRollout(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = rolloutRun
	}
	return &command.Command{
		Name: "rollout", Short: "Measure how fast bundles take effect, and the number of calls to the platform", Options: o,
		Long:    "Run a fleet of daemons in one process, push bundles, and count calls to the stand-in platform.",
		Example: "standin rollout --daemons 50 --domains 4 --log-level off",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func rolloutRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := propagation.Run(x, propagation.Config{
		Daemons: o.Daemons, FailureDomains: o.Domains, Changes: o.Changes, Outages: o.Outages, IdleDuration: o.Idle, OutageDuration: o.Outage,
		Log: o.factory.Logger("rollout", o.Log),
	})
	if err != nil {
		return err
	}
	s := o.factory.Streams
	if o.JSON {
		return s.JSON(r)
	}
	s.Outf("%d daemons in %d failure domains\n", r.Daemons, r.FailureDomains)
	s.Outf("in force, platform up:    median %.0f ms, worst %.0f ms of %d\n", r.PlatformUp.Median, r.PlatformUp.Worst, r.PlatformUp.Count)
	s.Outf("in force, after outage:   median %.0f ms, worst %.0f ms of %d\n", r.AfterOutage.Median, r.AfterOutage.Worst, r.AfterOutage.Count)
	s.Outf("calls to the platform:    %.1f per idle minute, %.1f per change\n", r.CallsPerIdleMinute, r.CallsPerChange)
	s.Outf("calls around an outage:   %.1f per second during it, at most %d in one second after it\n", r.CallsPerSecondInOutage, r.PeakCallsPerSecondAfterOutage)
	return nil
}
