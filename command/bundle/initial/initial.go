// Package initial implements the command that writes a commented example bundle.
package initial

import (
	"context"
	"embed"
	"os"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// fileMode is the file mode of a bundle file.
const fileMode = 0o644

//go:embed lankaglow.yaml muckspread.yaml
var examples embed.FS

// Options are the flags of the command.
type Options struct {
	For string `long:"for" required:"true" description:"User whose system sizes the example has: lankaglow or muckspread"`
	Out string `long:"out" short:"o" description:"File to write; it must not exist (default: standard output)"`

	factory *factory.Factory
}

// NewCmdInit returns the command. Tests pass runF to replace initRun.
func NewCmdInit(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = initRun
	}
	return &command.Command{
		Name: "init", Short: "Write a commented example bundle", Options: o,
		Long:    "Write a commented example bundle with the system sizes of one of the users. Edit it, then run \"bundle check\".",
		Example: "dragonflypick bundle init --for lankaglow --out bundle.yaml",
		Run: func(x context.Context, a []string) error {
			if len(a) > 0 {
				return &command.FlagError{Reason: "init takes no arguments"}
			}
			if o.For != "lankaglow" && o.For != "muckspread" {
				return &command.FlagError{Reason: "--for must be lankaglow or muckspread"}
			}
			return runF(x, o)
		},
	}
}

func initRun(_ context.Context, o *Options) error {
	t, err := examples.ReadFile(o.For + ".yaml")
	if err != nil {
		return err
	}
	if o.Out == "" {
		o.factory.Streams.Outf("%s", t)
		return nil
	}
	w, err := os.OpenFile(o.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return err
	}
	if _, err := w.Write(t); err != nil {
		_ = w.Close()
		return err
	}
	return w.Close()
}
