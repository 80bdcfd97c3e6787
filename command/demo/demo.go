// Package demo implements the root command of the program demo, which runs a
// complete system in one process on loopback.
package demo

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/load"
)

// Options are the flags of the command.
type Options struct {
	Listen   string             `long:"listen" env:"DRAGONFLYPICK_DEMO_LISTEN" default:"127.0.0.1:6432" description:"IP address and port of the first daemon for callers; the other daemons use the next ports; port 0 selects free ports"`
	Check    bool               `long:"check" description:"Place orders, kill a primary, and verify every acknowledged order"`
	Duration time.Duration      `long:"duration" default:"8s" description:"Duration of the check"`
	Seed     uint64             `long:"seed" default:"1" description:"Seed of the check's load"`
	JSON     bool               `long:"json" description:"Print the check's result as JSON"`
	Log      factory.LogOptions `group:"Logging"`

	factory *factory.Factory
}

// NewCmdDemo returns the root command. Tests pass runF to replace demoRun.
func NewCmdDemo(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = demoRun
	}
	return &command.Command{
		Name: "demo", Short: "Run a complete system on loopback", Options: o,
		Long:    "Run the stand-in platform, two database groups of three members and three daemons in one process.",
		Example: "go run ./cmd/demo\ngo run ./cmd/demo --check",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func demoRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := cluster.DefaultConfig()
	c.Log = hclog.NewNullLogger()
	if o.Log.Level != "info" || !o.Check {
		c.Log = o.factory.Logger("demo", o.Log)
	}
	c.Listen = o.Listen
	if o.Check {
		c.Listen = "127.0.0.1:0"
	}
	k, err := cluster.Start(context.WithoutCancel(x), c)
	if err != nil {
		return err
	}
	defer k.Stop()
	if o.Check {
		return o.runCheck(x, k)
	}
	s := o.factory.Streams
	s.Outf("bundle version %d is in force; connect with one of:\n", k.Bundle.Version)
	for _, d := range k.Daemons {
		s.Outf("  %s  (status: http://%s/status)\n", d.ConnectionURL(c.Groups[0]), d.AdminAddress())
	}
	s.Outf("stop with Ctrl-C\n")
	<-x.Done()
	return nil
}

// CheckResult is the result of the check.
type CheckResult struct {
	load.Report
	// Killed is the name of the primary that was killed, NewPrimary that of its
	// replacement; NewPrimary is empty if there is none.
	Killed     string `json:"killed"`
	NewPrimary string `json:"new-primary"`
}

// runCheck runs a load, kills the primary of the first group halfway through, and
// prints the result.
func (o *Options) runCheck(x context.Context, k *cluster.Cluster) error {
	g := k.Config.Groups[0]
	c := load.Config{
		User: cluster.CallerName, Password: cluster.CallerPassword, Group: g, Seed: o.Seed, Sessions: 30,
		Duration: o.Duration, MoveEvery: 10, Rates: [bundle.RankCount]float64{100, 100, 20},
	}
	for _, d := range k.Daemons {
		c.Addresses = append(c.Addresses, d.CallerAddress())
		c.AdminAddresses = append(c.AdminAddresses, d.AdminAddress())
	}
	s := o.factory.Streams
	if s.Terminal && !o.JSON {
		c.Progress = func(r load.Report) { s.Errf("\r%4.0f s  %d orders ", r.Elapsed, r.Orders) }
	}
	p := k.Primary(g)
	t := time.AfterFunc(o.Duration/2, p.Kill)
	defer t.Stop()
	r, err := load.Run(x, c)
	if err != nil {
		return err
	}
	v := CheckResult{Report: r, Killed: p.Name}
	if n := k.Primary(g); n != nil {
		v.NewPrimary = n.Name
	}
	return o.print(v)
}

func (o *Options) print(v CheckResult) error {
	s := o.factory.Streams
	if o.JSON {
		if err := s.JSON(v); err != nil {
			return err
		}
	} else {
		v.Print(s.Out)
		s.Outf("primary %s was killed; the new primary is %s\n", v.Killed, v.NewPrimary)
	}
	if v.HasViolations() || v.NewPrimary == "" || v.NewPrimary == v.Killed {
		return &command.SilentError{Code: command.ExitCheckFailed}
	}
	return nil
}
