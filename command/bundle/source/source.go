// Package source reads bundles from files and from the platform for the bundle
// commands.
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

// LoadedBundle is a bundle read from a file or from the platform.
type LoadedBundle struct {
	// Bundle is nil if the platform holds none.
	Bundle *bundle.Bundle
	// Signed is the bundle with its verified signatures; nil for an unsigned file.
	Signed *bundle.Signed
}

// FromFile reads a bundle from a YAML file, or from a file with a signed bundle,
// whose signatures it verifies.
func (o *Options) FromFile(x context.Context, name string) (LoadedBundle, error) {
	t, err := os.ReadFile(name)
	if err != nil {
		return LoadedBundle{}, err
	}
	if bytes.HasPrefix(bytes.TrimSpace(t), []byte("{")) {
		return o.openSigned(x, t)
	}
	b, err := bundle.Parse(name, t)
	if err != nil {
		return LoadedBundle{}, refusedError(err)
	}
	return LoadedBundle{Bundle: b}, nil
}

// FromPlatform reads the bundle stored in the platform and verifies its signatures.
func (o *Options) FromPlatform(x context.Context) (LoadedBundle, error) {
	if o.Platform == "" {
		return LoadedBundle{}, &command.FlagError{Reason: "specify --platform or a file"}
	}
	r, err := consul.New(consul.Config{Address: o.Platform}).Get(x, consul.BundleKey, 0, 0)
	if err != nil || len(r.Pairs) == 0 {
		return LoadedBundle{}, err
	}
	return o.openSigned(x, r.Pairs[0].Value)
}

func (o *Options) openSigned(x context.Context, envelope []byte) (LoadedBundle, error) {
	t, err := bundle.ParseTrust(o.Authors, o.Approvers)
	if err != nil {
		return LoadedBundle{}, &command.FlagError{Reason: err.Error()}
	}
	s, err := bundle.Open(x, envelope, t)
	if err != nil {
		return LoadedBundle{}, refusedError(err)
	}
	return LoadedBundle{Bundle: s.Bundle, Signed: s}, nil
}

func refusedError(err error) error { return &command.RefusedError{Reason: err.Error()} }
