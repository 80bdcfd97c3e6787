// Package measure implements the commands that run measurements.
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

// SystemOptions are the flags of the measurements that start daemons as separate
// processes.
type SystemOptions struct {
	Programs      string        `long:"programs" description:"Directory of the programs dragonflypick and standin (default: that of this program)"`
	Logs          string        `long:"logs" description:"Directory for the logs of the processes (default: a temporary one, removed at the end)"`
	Slots         int           `long:"slots" default:"3" description:"Maximum number of statements that run concurrently on a member"`
	Connections   int           `long:"connections" default:"20" description:"Maximum number of connections to a member"`
	StatementCost time.Duration `long:"statement-cost" default:"1ms" description:"Time that a statement occupies a slot"`
	JSON          bool          `long:"json" description:"Print the report as JSON"`
}

// report is the result of a measurement.
type report interface{ Print(io.Writer) }

// NewCmdMeasure returns the command group.
func NewCmdMeasure(f *factory.Factory) *command.Command {
	return &command.Command{
		Name: "measure", Short: "Run a measurement on loopback",
		Commands: []*command.Command{newCmdPath(f), newCmdThroughput(f), newCmdMemory(f), newCmdFailover(f), newCmdWrites(f), newCmdSlopes(f)},
	}
}

// runMeasurement prepares the settings of the processes, runs a measurement and
// prints its report.
func (o *SystemOptions) runMeasurement(x context.Context, f *factory.Factory, m func(context.Context, process.Config) (report, error)) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if o.Slots <= 0 || o.Connections <= o.Slots {
		return &command.FlagError{Reason: "--slots must be above zero and less than --connections"}
	}
	c := process.DefaultConfig()
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
	return printReport(f, r, o.JSON)
}

// printReport prints a report as text or JSON.
func printReport(f *factory.Factory, r report, asJSON bool) error {
	if asJSON {
		return f.Streams.JSON(r)
	}
	r.Print(f.Streams.Out)
	return nil
}

// PathOptions are the flags of "path".
type PathOptions struct {
	SystemOptions `group:"System"`
	Rounds        int `long:"rounds" default:"2000" description:"Number of reads and writes on each path"`
}

func newCmdPath(f *factory.Factory) *command.Command {
	o := &PathOptions{}
	return &command.Command{
		Name: "path", Short: "Measure the latency of reads and writes, directly and through each daemon", Options: o,
		Example: "standin measure path --rounds 2000",
		Run: func(x context.Context, _ []string) error {
			return o.runMeasurement(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.PathLatency(x, measure.PathLatencyConfig{Process: c, Rounds: o.Rounds})
				return &r, err
			})
		},
	}
}

// ThroughputOptions are the flags of "throughput".
type ThroughputOptions struct {
	SystemOptions `group:"System"`
	Sessions      int           `long:"sessions" default:"50" description:"Number of sessions, each with one statement at a time"`
	Duration      time.Duration `long:"duration" default:"5s" description:"Duration of each measurement"`
}

func newCmdThroughput(f *factory.Factory) *command.Command {
	o := &ThroughputOptions{}
	return &command.Command{
		Name: "throughput", Short: "Measure statements per second, directly on a member and through one daemon", Options: o,
		Example: "standin measure throughput --sessions 50 --slots 50 --connections 120 --statement-cost 0s",
		Run: func(x context.Context, _ []string) error {
			return o.runMeasurement(x, f, func(x context.Context, c process.Config) (report, error) {
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
		Name: "memory", Short: "Measure the memory that a daemon uses for each idle caller", Options: o,
		Example: "standin measure memory --callers 0 --callers 1000 --callers 5000",
		Run: func(x context.Context, _ []string) error {
			if len(o.Callers) == 0 {
				o.Callers = []int{0, 1000, 5000}
			}
			return o.runMeasurement(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.Memory(x, measure.MemoryConfig{Process: c, Callers: o.Callers})
				return &r, err
			})
		},
	}
}
