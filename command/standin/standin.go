// Package standin defines the root command of the program standin.
package standin

import (
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/command/standin/database"
	"github.com/dragonflypick/dragonflypick/command/standin/experiment"
	"github.com/dragonflypick/dragonflypick/command/standin/load"
	"github.com/dragonflypick/dragonflypick/command/standin/matrix"
	"github.com/dragonflypick/dragonflypick/command/standin/measure"
	"github.com/dragonflypick/dragonflypick/command/standin/platform"
	"github.com/dragonflypick/dragonflypick/command/standin/rollout"
	"github.com/dragonflypick/dragonflypick/command/standin/soak"
)

// NewCmdStandin returns the root command.
func NewCmdStandin(f *factory.Factory) *command.Command {
	return &command.Command{
		Name: "standin", Short: "Run stand-ins of the platform and of databases, a load, and measurements",
		Commands: []*command.Command{
			platform.NewCmdPlatform(f, nil),
			experiment.NewCmdExperiment(f, nil),
			database.NewCmdDatabase(f, nil),
			load.NewCmdLoad(f, nil),
			matrix.NewCmdMatrix(f, nil),
			measure.NewCmdMeasure(f),
			rollout.NewCmdRollout(f, nil),
			soak.NewCmdSoak(f, nil),
		},
	}
}
