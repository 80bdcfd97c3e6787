// Package diff implements the command that compares two bundles.
package diff

import (
	"context"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/bundle/source"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// Options are the flags of the command.
type Options struct {
	source.Options
	JSON bool `long:"json" description:"Print JSON"`

	factory *factory.Factory
	// files holds the file of the new bundle, or those of the old and the new one.
	files []string
}

// NewCmdDiff returns the command. Tests pass runF to replace diffRun.
func NewCmdDiff(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = diffRun
	}
	return &command.Command{
		Name: "diff", Short: "Show what a bundle would change", Options: o,
		Long:    "Compare a bundle with the one stored in the platform, or compare two files. Files are YAML or signed bundles. Password verifiers are not shown.",
		Example: "dragonflypick bundle diff --platform 127.0.0.1:8500 bundle.yaml\ndragonflypick bundle diff old.yaml new.yaml",
		Run: func(x context.Context, a []string) error {
			if len(a) < 1 || len(a) > 2 {
				return &command.FlagError{Reason: "specify the new bundle, or the old and the new bundle"}
			}
			o.files = a
			return runF(x, o)
		},
	}
}

// report is the command's JSON output.
type report struct {
	FromVersion      uint64          `json:"from-version"`
	ToVersion        uint64          `json:"to-version"`
	VersionIncreases bool            `json:"version-rises"`
	Changes          []bundle.Change `json:"changes"`
}

func diffRun(x context.Context, o *Options) error {
	n, err := o.FromFile(x, o.files[len(o.files)-1])
	if err != nil {
		return err
	}
	var b source.LoadedBundle
	if len(o.files) == 2 {
		b, err = o.FromFile(x, o.files[0])
	} else {
		b, err = o.FromPlatform(x)
	}
	if err != nil {
		return err
	}
	c, err := bundle.Diff(b.Bundle, n.Bundle)
	if err != nil {
		return err
	}
	r := report{ToVersion: n.Bundle.Version, Changes: append([]bundle.Change{}, c...)}
	if b.Bundle != nil {
		r.FromVersion = b.Bundle.Version
	}
	r.VersionIncreases = r.ToVersion > r.FromVersion
	return o.print(r)
}

func (o *Options) print(r report) error {
	s := o.factory.Streams
	if o.JSON {
		return s.JSON(r)
	}
	s.Outf("version %d to %d\n", r.FromVersion, r.ToVersion)
	if !r.VersionIncreases && len(r.Changes) > 0 {
		s.Outf("would be refused: the version must increase\n")
	}
	for _, c := range r.Changes {
		switch {
		case c.Before == nil:
			s.Outf("+ %s: %s\n", c.Path, c.After)
		case c.After == nil:
			s.Outf("- %s: %s\n", c.Path, c.Before)
		default:
			s.Outf("~ %s: %s -> %s\n", c.Path, c.Before, c.After)
		}
	}
	return nil
}
