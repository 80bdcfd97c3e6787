// Package sign implements the command that signs a bundle.
package sign

import (
	"context"
	"os"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// fileMode is the file mode of a signed bundle.
const fileMode = 0o644

// Options are the flags of the command.
type Options struct {
	Author   string `long:"author" required:"true" description:"File of the author's private key"`
	Approver string `long:"approver" required:"true" description:"File of the approver's private key"`
	Out      string `long:"out" short:"o" required:"true" description:"File for the signed bundle"`

	factory *factory.Factory
	file    string
}

// NewCmdSign returns the command. Tests pass runF to replace signRun.
func NewCmdSign(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = signRun
	}
	return &command.Command{
		Name: "sign", Short: "Sign a bundle", Options: o,
		Long:    "Check a bundle and sign it with the private keys of its author and of an approver.",
		Example: "dragonflypick bundle sign --author anna.key --approver ops.key --out bundle.json bundle.yaml",
		Run: func(x context.Context, a []string) error {
			if len(a) != 1 {
				return &command.FlagError{Reason: "specify one bundle file"}
			}
			o.file = a[0]
			return runF(x, o)
		},
	}
}

func signRun(x context.Context, o *Options) error {
	t, err := os.ReadFile(o.file)
	if err != nil {
		return err
	}
	b, err := bundle.Parse(o.file, t)
	if err != nil {
		return &command.RefusedError{Reason: err.Error()}
	}
	a, err := readKey(o.Author)
	if err != nil {
		return err
	}
	p, err := readKey(o.Approver)
	if err != nil {
		return err
	}
	e, err := bundle.Sign(x, b, a, p)
	if err != nil {
		return &command.RefusedError{Reason: err.Error()}
	}
	if err := os.WriteFile(o.Out, e, fileMode); err != nil {
		return err
	}
	o.factory.Streams.Outf("signed version %d, %d bytes\n", b.Version, len(e))
	return nil
}

func readKey(file string) (*bundle.Key, error) {
	t, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return bundle.ParsePrivateKey(string(t))
}
