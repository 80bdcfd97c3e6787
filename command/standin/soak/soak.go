// Package soak implements the command that runs systems of real processes under load
// and faults.
package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/soak"
)

// Options are the flags of the command.
type Options struct {
	Edge     string             `long:"edge" default:"platform" description:"Protocol of callers and backend servers: platform or postgres"`
	Seed     uint64             `long:"seed" default:"1" description:"Seed of the first run; each further run adds one"`
	Runs     int                `long:"runs" default:"1" description:"Number of runs, each in a new system"`
	Parallel int                `long:"parallel" default:"1" description:"Maximum number of runs at once"`
	Duration time.Duration      `long:"duration" default:"20s" description:"Time in which faults start"`
	Daemons  int                `long:"daemons" default:"5" description:"Number of daemons of each run, at most 60"`
	Groups   int                `long:"groups" default:"2" description:"Number of database groups of each run"`
	Programs string             `long:"programs" description:"Directory of the programs dragonflypick and standin (default: that of this program)"`
	Logs     string             `long:"logs" required:"true" description:"Directory for the logs of the processes, one folder for each run; those of runs without a broken promise are removed"`
	KeepLogs bool               `long:"keep-logs" description:"Keep the logs of all runs"`
	JSON     bool               `long:"json" description:"Print the reports as JSON"`
	Log      factory.LogOptions `group:"Logging"`

	factory *factory.Factory
	// printing is held while a report is printed.
	printing sync.Mutex
}

// NewCmdSoak returns the command. Tests pass runF to replace soakRun.
func NewCmdSoak(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = soakRun
	}
	return &command.Command{
		Name: "soak", Short: "Run daemons as processes under load and random faults, and check what callers get", Options: o,
		Long: "The seed determines the faults; every fourth seed contains only planned work, under which no request may be lost.\n" +
			"Exits with 4 if a promise was broken.",
		Example: "standin soak --edge platform --seed 1 --runs 50 --parallel 3 --logs soak-logs --log-level off",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func (o *Options) validate() error {
	if o.Runs < 1 || o.Parallel < 1 {
		return &command.FlagError{Reason: "--runs and --parallel must be above zero"}
	}
	if o.Programs == "" {
		p, err := os.Executable()
		if err != nil {
			return err
		}
		o.Programs = filepath.Dir(p)
	}
	return nil
}

func soakRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := o.validate(); err != nil {
		return err
	}
	broken := make([]bool, o.Runs)
	g, x := errgroup.WithContext(x)
	g.SetLimit(o.Parallel)
	for i := range o.Runs {
		g.Go(func() error {
			var err error
			broken[i], err = o.runSeed(x, o.Seed+uint64(i))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, b := range broken {
		if b {
			return &command.SilentError{Code: command.ExitCheckFailed}
		}
	}
	return nil
}

// runSeed runs one seed, prints its report, and reports whether a promise was broken.
func (o *Options) runSeed(x context.Context, seed uint64) (broken bool, err error) {
	if err := x.Err(); err != nil {
		return false, err
	}
	d := filepath.Join(o.Logs, fmt.Sprintf("%s-%d", o.Edge, seed))
	if err := os.MkdirAll(d, logsMode); err != nil {
		return false, err
	}
	r, err := soak.Run(x, soak.Config{
		Edge: soak.Edge(o.Edge), Programs: process.ProgramsIn(o.Programs), Dir: d, Seed: seed,
		Duration: o.Duration, Daemons: o.Daemons, Groups: o.Groups, Log: o.factory.Logger("soak", o.Log).With("edge", o.Edge, "seed", seed),
	})
	var e *soak.ConfigError
	if errors.As(err, &e) {
		return false, &command.FlagError{Reason: e.Reason}
	}
	if err != nil {
		return false, err
	}
	broken = len(r.Violations) > 0
	if !broken && !o.KeepLogs {
		if err := os.RemoveAll(d); err != nil {
			return false, err
		}
	}
	o.printing.Lock()
	defer o.printing.Unlock()
	if o.JSON {
		return broken, o.factory.Streams.JSON(r)
	}
	r.Print(o.factory.Streams.Out)
	return broken, nil
}

// logsMode is the mode of the folders for logs.
const logsMode = 0o755
