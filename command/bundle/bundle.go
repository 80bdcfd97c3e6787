// Package bundle defines the command group for bundles. The subpackages implement
// its commands.
package bundle

import (
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/bundle/check"
	"github.com/dragonflypick/dragonflypick/command/bundle/diff"
	"github.com/dragonflypick/dragonflypick/command/bundle/initial"
	"github.com/dragonflypick/dragonflypick/command/bundle/keygen"
	"github.com/dragonflypick/dragonflypick/command/bundle/push"
	"github.com/dragonflypick/dragonflypick/command/bundle/show"
	"github.com/dragonflypick/dragonflypick/command/bundle/sign"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// NewCmdBundle returns the command group.
func NewCmdBundle(f *factory.Factory) *command.Command {
	return &command.Command{
		Name: "bundle", Short: "Create, sign and roll out bundles",
		Long: "A bundle is one signed version of the configuration of all daemons.",
		Commands: []*command.Command{
			initial.NewCmdInit(f, nil), check.NewCmdCheck(f, nil), keygen.NewCmdKeygen(f, nil), sign.NewCmdSign(f, nil),
			diff.NewCmdDiff(f, nil), push.NewCmdPush(f, nil), show.NewCmdShow(f, nil),
		},
	}
}
