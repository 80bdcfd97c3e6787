// Package push implements the command that puts a signed bundle in force.
package push

import (
	"context"
	"os"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/consul"
)

// Options are the flags of the command.
type Options struct {
	Platform  string   `long:"platform" env:"DRAGONFLYPICK_PLATFORM" required:"true" description:"IP address and port of the platform's key-value service"`
	Authors   []string `long:"author" env:"DRAGONFLYPICK_AUTHORS" env-delim:"," description:"Public key (name:base64) of a trusted bundle author"`
	Approvers []string `long:"approver" env:"DRAGONFLYPICK_APPROVERS" env-delim:"," required:"true" description:"Public key (name:base64) of a trusted bundle approver"`

	factory *factory.Factory
	file    string
}

// NewCmdPush returns the command. Tests pass runF to replace pushRun.
func NewCmdPush(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = pushRun
	}
	return &command.Command{
		Name: "push", Short: "Roll out a signed bundle", Options: o,
		Long:    "Put a signed bundle in force on all daemons if its version is higher than that of the bundle in force.",
		Example: "dragonflypick bundle push --platform 127.0.0.1:8500 --author anna:BASE64 --approver ops:BASE64 bundle.json",
		Run: func(x context.Context, a []string) error {
			if len(a) != 1 {
				return &command.FlagError{Reason: "specify one signed bundle"}
			}
			o.file = a[0]
			return runF(x, o)
		},
	}
}

func pushRun(x context.Context, o *Options) error {
	e, err := os.ReadFile(o.file)
	if err != nil {
		return err
	}
	t, err := bundle.ParseTrust(o.Authors, o.Approvers)
	if err != nil {
		return &command.FlagError{Reason: err.Error()}
	}
	r, err := consul.Push(x, consul.New(consul.Config{Address: o.Platform}), e, t)
	if err != nil {
		return &command.RefusedError{Reason: err.Error()}
	}
	o.factory.Streams.Outf("version %d is accepted (digest %s)\n", r.Bundle.Version, r.Digest)
	return nil
}
