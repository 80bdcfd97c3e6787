// Package version implements the command that prints the program's version.
package version

import (
	"context"
	"runtime/debug"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// NewCmdVersion returns the command.
func NewCmdVersion(f *factory.Factory) *command.Command {
	return &command.Command{
		Name: "version", Short: "Print the version", Example: "dragonflypick version",
		Run: func(context.Context, []string) error {
			v := "(devel)"
			g := ""
			if b, ok := debug.ReadBuildInfo(); ok {
				v, g = b.Main.Version, b.GoVersion
			}
			f.Streams.Outf("dragonflypick %s %s\n", v, g)
			return nil
		},
	}
}
