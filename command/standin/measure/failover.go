package measure

import (
	"context"
	"slices"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/measure"
	"github.com/dragonflypick/dragonflypick/standin/process"
)

// FailoverOptions are the flags of "failover".
type FailoverOptions struct {
	SystemOptions `group:"System"`
	Fault         string  `long:"fault" required:"true" description:"kill, freeze, cut or silence for the primary; owner-kill, owner-freeze or owner-cut for its owner; leave for a switchover"`
	Runs          int     `long:"runs" default:"10" description:"Number of runs, each in a new system"`
	Rate          float64 `long:"rate" default:"200" description:"Orders per second"`
	Seed          uint64  `long:"seed" default:"1" description:"Seed of the first run; each further run adds one"`
	Keyed         bool    `long:"keyed" description:"Give the orders idempotency keys, and don't retry those in doubt"`
}

func newCmdFailover(f *factory.Factory) *command.Command {
	o := &FailoverOptions{}
	return &command.Command{
		Name: "failover", Short: "Measure the interruption of writes after a fault, by stage", Options: o,
		Long:    "Exits with 4 if a guarantee was violated.",
		Example: "standin measure failover --fault kill --runs 10",
		Run: func(x context.Context, _ []string) error {
			if !slices.Contains(measure.Faults(), measure.Fault(o.Fault)) {
				return &command.FlagError{Reason: "unknown --fault " + o.Fault}
			}
			violated := false
			err := o.runMeasurement(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.Failover(x, measure.FailoverConfig{
					Process: c, Fault: measure.Fault(o.Fault), Runs: o.Runs, Rate: o.Rate, Seed: o.Seed, Keyed: o.Keyed,
				})
				for _, y := range r.Runs {
					violated = violated || y.Violations > 0
				}
				return &r, err
			})
			if err == nil && violated {
				return &command.SilentError{Code: command.ExitCheckFailed}
			}
			return err
		},
	}
}
