// Package source reads bundles from files and from the platform for commands.
package source

import (
	"bytes"
	"context"
	"os"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/consul"
)

// Options are the flags of commands that read bundles.
type Options struct {
	Platform  string   `long:"platform" env:"DRAGONFLYPICK_PLATFORM" description:"IP address and port of the platform's key-value service"`
	Authors   []string `long:"author" env:"DRAGONFLYPICK_AUTHORS" env-delim:"," description:"Public key (name:base64) of a trusted bundle author"`
	Approvers []string `long:"approver" env:"DRAGONFLYPICK_APPROVERS" env-delim:"," description:"Public key (name:base64) of a trusted bundle approver"`
}

// Loaded is a bundle with its signatures, if it is signed.
type Loaded struct {
	// Bundle is nil if the platform holds none.
	Bundle *bundle.Bundle
	// Signed is nil for an unsigned file.
	Signed *bundle.Signed
}

// FromFile reads a bundle from a YAML file or from a signed bundle's file, whose
// signatures it verifies.
func (o *Options) FromFile(x context.Context, name string) (Loaded, error) {
	t, err := os.ReadFile(name)
	if err != nil {
		return Loaded{}, err
	}
	if bytes.HasPrefix(bytes.TrimSpace(t), []byte("{")) {
		return o.open(x, t)
	}
	b, err := bundle.Parse(name, t)
	if err != nil {
		return Loaded{}, refusedError(err)
	}
	return Loaded{Bundle: b}, nil
}

// FromPlatform reads the bundle stored in the platform.
func (o *Options) FromPlatform(x context.Context) (Loaded, error) {
	if o.Platform == "" {
		return Loaded{}, &command.FlagError{Reason: "specify --platform or a file"}
	}
	r, err := consul.New(consul.Config{Address: o.Platform}).Get(x, consul.BundleKey, 0, 0)
	if err != nil || len(r.Pairs) == 0 {
		return Loaded{}, err
	}
	return o.open(x, r.Pairs[0].Value)
}

func (o *Options) open(x context.Context, envelope []byte) (Loaded, error) {
	t, err := bundle.ParseTrust(o.Authors, o.Approvers)
	if err != nil {
		return Loaded{}, &command.FlagError{Reason: err.Error()}
	}
	s, err := bundle.Open(x, envelope, t)
	if err != nil {
		return Loaded{}, refusedError(err)
	}
	return Loaded{Bundle: s.Bundle, Signed: s}, nil
}

func refusedError(err error) error { return &command.RefusedError{Reason: err.Error()} }
