// Package keygen implements the command that generates a signing key.
package keygen

import (
	"context"
	"os"
	"strings"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// privateKeyFileMode is the file mode of a private key.
const privateKeyFileMode = 0o600

// Options are the flags of the command.
type Options struct {
	Out string `long:"out" short:"o" required:"true" description:"File for the private key"`

	factory *factory.Factory
	name    string
}

// NewCmdKeygen returns the command. Tests pass runF to replace keygenRun.
func NewCmdKeygen(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = keygenRun
	}
	return &command.Command{
		Name: "keygen", Short: "Generate a signing key", Options: o,
		Long:    "Write a new private key to a file and print its public key, for --author or --approver.",
		Example: "dragonflypick bundle keygen --out ops.key ops",
		Run: func(x context.Context, a []string) error {
			if len(a) != 1 || strings.ContainsAny(a[0], ": ") {
				return &command.FlagError{Reason: "specify a name for the key, without spaces and colons"}
			}
			o.name = a[0]
			return runF(x, o)
		},
	}
}

func keygenRun(_ context.Context, o *Options) error {
	k, err := bundle.NewKey(o.name)
	if err != nil {
		return err
	}
	w, err := os.OpenFile(o.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateKeyFileMode)
	if err != nil {
		return err
	}
	if _, err := w.WriteString(k.PrivateText() + "\n"); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	o.factory.Streams.Outf("%s\n", k.PublicText())
	return nil
}
