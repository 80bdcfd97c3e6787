// Package measure runs measurements.
package measure

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/measure"
	"github.com/dragonflypick/dragonflypick/standin/process"
)

// SystemOptions are the flags of all measurements.
type SystemOptions struct {
	Programs      string        `long:"programs" description:"Folder of the programs dragonflypick and standin (default: that of this program)"`
	Logs          string        `long:"logs" description:"Folder for the logs of the processes (default: a temporary one, removed at the end)"`
	Slots         int           `long:"slots" default:"3" description:"Statements that run at a time on a member"`
	Connections   int           `long:"connections" default:"20" description:"Greatest number of connections of a member"`
	StatementCost time.Duration `long:"statement-cost" default:"1ms" description:"Slot time of a statement"`
	JSON          bool          `long:"json" description:"Print the report as JSON"`
}

// report is what a measurement has shown.
type report interface{ Print(io.Writer) }

// NewCmdMeasure returns the group of commands.
func NewCmdMeasure(f *factory.Factory) *command.Command {
	return &command.Command{
		Name: "measure", Short: "Measure a system of separate processes on loopback",
		Commands: []*command.Command{newCmdPath(f), newCmdThroughput(f), newCmdMemory(f), newCmdFailover(f), newCmdWrites(f), newCmdSlopes(f)},
	}
}

// run prepares the processes' settings, runs a measurement and prints it.
func (o *SystemOptions) run(x context.Context, f *factory.Factory, m func(context.Context, process.Config) (report, error)) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if o.Slots <= 0 || o.Connections <= o.Slots {
		return &command.FlagError{Reason: "--slots must be above zero and --connections above --slots"}
	}
	c := process.Default()
	c.Slots, c.Connections, c.StatementCost, c.Dir = o.Slots, o.Connections, o.StatementCost, o.Logs
	if o.Programs == "" {
		p, err := os.Executable()
		if err != nil {
			return err
		}
		o.Programs = filepath.Dir(p)
	}
	c.Programs = process.ProgramsIn(o.Programs)
	if c.Dir == "" {
		d, err := os.MkdirTemp("", "measure-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(d) }()
		c.Dir = d
	}
	r, err := m(x, c)
	if err != nil {
		return err
	}
	return show(f, r, o.JSON)
}

// show prints a report.
func show(f *factory.Factory, r report, asJSON bool) error {
	if asJSON {
		return f.Streams.JSON(r)
	}
	r.Print(f.Streams.Out)
	return nil
}

// PathOptions are the flags of "path".
type PathOptions struct {
	SystemOptions `group:"System"`
	Rounds        int `long:"rounds" default:"2000" description:"Reads and writes on each way"`
}

func newCmdPath(f *factory.Factory) *command.Command {
	o := &PathOptions{}
	return &command.Command{
		Name: "path", Short: "Latency of a read and a write, direct and through each daemon", Options: o,
		Example: "standin measure path --rounds 2000",
		Run: func(x context.Context, _ []string) error {
			return o.run(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.Path(x, measure.PathConfig{Process: c, Rounds: o.Rounds})
				return &r, err
			})
		},
	}
}

// ThroughputOptions are the flags of "throughput".
type ThroughputOptions struct {
	SystemOptions `group:"System"`
	Sessions      int           `long:"sessions" default:"50" description:"Sessions, each with one statement at a time"`
	Duration      time.Duration `long:"duration" default:"5s" description:"Duration of each part"`
}

func newCmdThroughput(f *factory.Factory) *command.Command {
	o := &ThroughputOptions{}
	return &command.Command{
		Name: "throughput", Short: "Statements a second directly on a member and through one daemon", Options: o,
		Example: "standin measure throughput --sessions 50 --slots 50 --connections 120 --statement-cost 0s",
		Run: func(x context.Context, _ []string) error {
			return o.run(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.Throughput(x, measure.ThroughputConfig{Process: c, Sessions: o.Sessions, Duration: o.Duration})
				return &r, err
			})
		},
	}
}

// MemoryOptions are the flags of "memory".
type MemoryOptions struct {
	SystemOptions `group:"System"`
	Callers       []int `long:"callers" description:"Number of idle callers (default: 0, 1000 and 5000)"`
}

func newCmdMemory(f *factory.Factory) *command.Command {
	o := &MemoryOptions{}
	return &command.Command{
		Name: "memory", Short: "Memory of a daemon for each idle caller", Options: o,
		Example: "standin measure memory --callers 0 --callers 1000 --callers 5000",
		Run: func(x context.Context, _ []string) error {
			if len(o.Callers) == 0 {
				o.Callers = []int{0, 1000, 5000}
			}
			return o.run(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.Memory(x, measure.MemoryConfig{Process: c, Callers: o.Callers})
				return &r, err
			})
		},
	}
}
