package measure

import (
	"context"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/measure"
)

// WritesOptions are the flags of "writes".
type WritesOptions struct {
	Rounds int    `long:"rounds" default:"1000" description:"Number of sequential writes"`
	Runs   int    `long:"runs" default:"5" description:"Number of runs in which the primary is cut off and killed"`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of the first run; each further run adds one"`
	JSON   bool   `long:"json" description:"Print the report as JSON"`
}

func newCmdWrites(f *factory.Factory) *command.Command {
	o := &WritesOptions{}
	return &command.Command{
		Name: "writes", Short: "Measure the latency of waiting for a majority, and the writes lost without waiting", Options: o,
		Long:    "Runs in one process. At 1 s the replicas stop replicating, at 2 s the primary is killed; writes are acknowledged on a majority or, for comparison, at commit.",
		Example: "standin measure writes --runs 5",
		Run: func(x context.Context, _ []string) error {
			r, err := measure.WriteAcknowledgment(x, measure.WriteAcknowledgmentConfig{Rounds: o.Rounds, Runs: o.Runs, Seed: o.Seed})
			if err != nil {
				return err
			}
			return printReport(f, &r, o.JSON)
		},
	}
}
