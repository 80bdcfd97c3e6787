// Package root defines the root command of the program dragonflypick.
package root

import (
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/bundle"
	"github.com/dragonflypick/dragonflypick/command/completion"
	"github.com/dragonflypick/dragonflypick/command/explain"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/command/serve"
	"github.com/dragonflypick/dragonflypick/command/status"
	"github.com/dragonflypick/dragonflypick/command/version"
)

// NewCmdRoot returns the root command.
func NewCmdRoot(f *factory.Factory) *command.Command {
	return &command.Command{
		Name: "dragonflypick", Short: "Database proxy with session consistency",
		Commands: []*command.Command{
			serve.NewCmdServe(f, nil), bundle.NewCmdBundle(f), status.NewCmdStatus(f, nil), explain.NewCmdExplain(f, nil),
			completion.NewCmdCompletion(f, nil), version.NewCmdVersion(f),
		},
	}
}
