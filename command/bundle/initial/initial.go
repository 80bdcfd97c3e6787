// Package initial implements the command that writes a commented example bundle.
package initial

import (
	"context"
	"embed"
	"os"
	"slices"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// fileMode is the file mode of a bundle file.
const fileMode = 0o644

//go:embed small.yaml medium.yaml large.yaml
var examples embed.FS

// sizes are the values of --size, each with an example of that name.
var sizes = []string{"small", "medium", "large"}

// sizeByUser maps the values of the former flag --for to sizes.
var sizeByUser = map[string]string{"lankaglow": "medium", "muckspread": "large"}

// Options are the flags of the command.
type Options struct {
	Size string `long:"size" default:"small" description:"Size of the system that the example describes: small, medium or large"`
	// For is the former name of Size; it is still accepted.
	For string `long:"for" hidden:"true" description:"Former name of --size"`
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
		Long:    "Write a commented example bundle. Edit it, then run \"bundle check\".",
		Example: "dragonflypick bundle init --out bundle.yaml",
		Run: func(x context.Context, a []string) error {
			if len(a) > 0 {
				return &command.FlagError{Reason: "init takes no arguments"}
			}
			if o.For != "" {
				s, ok := sizeByUser[o.For]
				if !ok {
					return &command.FlagError{Reason: "--for must be lankaglow or muckspread; better use --size"}
				}
				o.Size = s
			}
			if !slices.Contains(sizes, o.Size) {
				return &command.FlagError{Reason: "--size must be small, medium or large"}
			}
			return runF(x, o)
		},
	}
}

func initRun(_ context.Context, o *Options) error {
	t, err := examples.ReadFile(o.Size + ".yaml")
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
