// Package experiment implements the command that simulates the admission and
// routing policy in virtual time.
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
	Factor         float64       `long:"factor" default:"10" description:"Additional load of a flood scenario, as a multiple of the capacity"`
	Seed           uint64        `long:"seed" default:"1" description:"Seed of the simulation"`
	WarmUp         time.Duration `long:"warm" default:"2s" description:"Virtual time before the reported period"`
	Duration       time.Duration `long:"duration" default:"10s" description:"Virtual time of the reported period, at most 10m"`
	Split          bool          `long:"split" description:"Divide each server's connections among the entry hosts, each with its own queue"`
	Exponential    bool          `long:"exponential" description:"Select members by an exponential cost function"`
	NoReserve      bool          `long:"no-reserve" description:"Let background work use the last slot"`
	NoShares       bool          `long:"no-shares" description:"Give the lower ranks no guaranteed share"`
	ArrivalOrder   bool          `long:"arrival-order" description:"Serve each caller's requests in order of arrival"`
	MixedDeadlines bool          `long:"mixed-deadlines" description:"Give half of the requests a fifth of the time limit"`
	OneCaller      bool          `long:"one-caller" description:"Treat all requests as one caller's"`
	NoRetryBudget  bool          `long:"no-retry-budget" description:"Retry requests without a budget"`
	NoThrottle     bool          `long:"no-throttle" description:"Don't throttle requests to overloaded owners"`
	NoFlight       bool          `long:"no-flight" description:"Don't limit the requests in flight to the other region"`
	NoSpill        bool          `long:"no-spill" description:"Don't send reads that an overloaded server refused to another server"`
	NoLinkBudget   bool          `long:"no-link-budget" description:"Let background reads use all of the region link"`
	JSON           bool          `long:"json" description:"Print the report as JSON"`

	factory *factory.Factory
}

// maxDuration bounds the virtual time.
const maxDuration = 10 * time.Minute

// NewCmdExperiment returns the command. Tests pass runF to replace experimentRun.
func NewCmdExperiment(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = experimentRun
	}
	return &command.Command{
		Name: "experiment", Short: "Simulate the admission and routing policy under a seeded load in virtual time", Options: o,
		Example: "standin experiment --scenario urgent-flood --factor 10 --seed 1\nstandin experiment --fleet muckspread --scenario background-flood --factor 100 --no-reserve",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func experimentRun(_ context.Context, o *Options) error {
	if o.Duration <= 0 || o.Duration > maxDuration || o.WarmUp < 0 || o.Factor <= 0 {
		return &command.FlagError{Reason: "--duration must be above zero and at most 10m, --factor above zero, and --warm not negative"}
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
		Fleet: f, Scenario: s, Factor: o.Factor, Seed: o.Seed, WarmUp: o.WarmUp, Duration: o.Duration,
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
