package measure

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/measure"
	"github.com/dragonflypick/dragonflypick/standin/process"
)

// SlopesOptions are the flags of "slopes".
type SlopesOptions struct {
	SystemOptions `group:"System"`
	Callers       []int         `long:"callers" description:"Number of idle callers (default: 0, 1000 and 5000)"`
	Groups        []int         `long:"groups" description:"Number of monitored groups of 3 members (default: 2, 20 and 60)"`
	Daemons       []int         `long:"daemons" description:"Number of daemons (default: 2, 8 and 20)"`
	Settle        time.Duration `long:"settle" default:"16s" description:"Time before a system is measured"`
}

func newCmdSlopes(f *factory.Factory) *command.Command {
	o := &SlopesOptions{}
	return &command.Command{
		Name: "slopes", Short: "Measure the resources that an idle daemon uses, by number of callers, groups and daemons", Options: o,
		Long:    "Members run within this process, daemons as processes of their own.",
		Example: "standin measure slopes --groups 2 --groups 20 --groups 60",
		Run: func(x context.Context, _ []string) error {
			if len(o.Callers)+len(o.Groups)+len(o.Daemons) == 0 {
				o.Callers, o.Groups, o.Daemons = []int{0, 1000, 5000}, []int{2, 20, 60}, []int{2, 8, 20}
			}
			return o.runMeasurement(x, f, func(x context.Context, c process.Config) (report, error) {
				r, err := measure.IdleCost(x, measure.IdleCostConfig{Process: c, Callers: o.Callers, Groups: o.Groups, Daemons: o.Daemons, Settle: o.Settle})
				return &r, err
			})
		},
	}
}
