// Package experiment runs a policy experiment in virtual time.
package experiment

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/experiment"
)

// Options are the flags of the command.
type Options struct {
	Fleet          string        `long:"fleet" default:"lankaglow" description:"Fleet: lankaglow or muckspread"`
	Scenario       string        `long:"scenario" default:"baseline" description:"Scenario: baseline, lag, background-flood, urgent-flood, caller-flood, primary-change, link-flood or owner-death"`
	Factor         float64       `long:"factor" default:"10" description:"Size of a flood in units of the capacity"`
	Seed           uint64        `long:"seed" default:"1" description:"Seed"`
	Warm           time.Duration `long:"warm" default:"2s" description:"Virtual time before what is reported"`
	Duration       time.Duration `long:"duration" default:"10s" description:"Virtual time of the report, at most 10m"`
	Split          bool          `long:"split" description:"Spread the connections over the entries, each with its own queue"`
	Exponential    bool          `long:"exponential" description:"Choose members by an exponential cost"`
	NoReserve      bool          `long:"no-reserve" description:"Let background work take the last slot"`
	NoShares       bool          `long:"no-shares" description:"Take the lower ranks' shares away"`
	ArrivalOrder   bool          `long:"arrival-order" description:"Serve in order of arrival"`
	MixedDeadlines bool          `long:"mixed-deadlines" description:"Give half of the requests a fifth of the time"`
	OneCaller      bool          `long:"one-caller" description:"Make all requests look like one caller's"`
	NoRetryBudget  bool          `long:"no-retry-budget" description:"Repeat without a budget"`
	NoThrottle     bool          `long:"no-throttle" description:"Send to overloaded owners whatever comes"`
	NoFlight       bool          `long:"no-flight" description:"Don't bound unanswered requests to the other region"`
	NoSpill        bool          `long:"no-spill" description:"Keep reads that a server refuses for load from other servers"`
	NoLinkBudget   bool          `long:"no-link-budget" description:"Let background reads use all of the region link"`
	JSON           bool          `long:"json" description:"Print the report as JSON"`

	factory *factory.Factory
}

// maxDuration bounds the virtual time.
const maxDuration = 10 * time.Minute

// NewCmdExperiment returns the command; runF replaces its work in tests.
func NewCmdExperiment(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = experimentRun
	}
	return &command.Command{
		Name: "experiment", Short: "Run the policy under a seeded load in virtual time", Options: o,
		Example: "standin experiment --scenario urgent-flood --factor 10 --seed 1\nstandin experiment --fleet muckspread --scenario background-flood --factor 100 --no-reserve",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func experimentRun(_ context.Context, o *Options) error {
	if o.Duration <= 0 || o.Duration > maxDuration || o.Warm < 0 || o.Factor <= 0 {
		return &command.FlagError{Reason: "--duration must lie within 10m, and --warm and --factor must not be negative"}
	}
	f, err := experiment.FindFleet(o.Fleet)
	if err != nil {
		return &command.FlagError{Reason: err.Error()}
	}
	s, err := experiment.FindScenario(o.Scenario)
	if err != nil {
		return &command.FlagError{Reason: err.Error()}
	}
	r, err := experiment.Run(experiment.Config{
		Fleet: f, Scenario: s, Factor: o.Factor, Seed: o.Seed, Warm: o.Warm, Duration: o.Duration,
		Variant: experiment.Variant{
			Split: o.Split, Exponential: o.Exponential, NoReserve: o.NoReserve, NoShares: o.NoShares, ArrivalOrder: o.ArrivalOrder,
			MixedDeadlines: o.MixedDeadlines, OneCaller: o.OneCaller, NoRetryBudget: o.NoRetryBudget, NoThrottle: o.NoThrottle, NoFlight: o.NoFlight, NoSpill: o.NoSpill, NoLinkBudget: o.NoLinkBudget,
		},
	})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(r)
	}
	r.Print(o.factory.Streams.Out)
	return nil
}
