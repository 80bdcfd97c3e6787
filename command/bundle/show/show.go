// Package show implements the command that prints the bundle in force or in a
// file.
package show

import (
	"context"
	"strings"

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
	// file is empty for the bundle stored in the platform.
	file string
}

// NewCmdShow returns the command. Tests pass runF to replace showRun.
func NewCmdShow(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = showRun
	}
	return &command.Command{
		Name: "show", Short: "Show the bundle in force, or one in a file", Options: o,
		Long:    "Show the bundle stored in the platform, or one in a file. Signatures are verified with the keys of --author and --approver.",
		Example: "dragonflypick bundle show --platform 127.0.0.1:8500\ndragonflypick bundle show --json bundle.json",
		Run: func(x context.Context, a []string) error {
			if len(a) > 1 {
				return &command.FlagError{Reason: "specify at most one file"}
			}
			o.file = strings.Join(a, "")
			return runF(x, o)
		},
	}
}

// report is the command's JSON output.
type report struct {
	Digest  string         `json:"digest,omitempty"`
	Signers []string       `json:"signers,omitempty"`
	Bundle  *bundle.Bundle `json:"bundle"`
}

func showRun(x context.Context, o *Options) error {
	l, err := o.loadBundle(x)
	if err != nil {
		return err
	}
	if l.Bundle == nil {
		return &command.RefusedError{Reason: "the platform holds no bundle"}
	}
	s := o.factory.Streams
	v := report{Bundle: l.Bundle}
	if l.Signed != nil {
		v.Digest, v.Signers = l.Signed.Digest, l.Signed.Signers
	}
	if o.JSON {
		return s.JSON(v)
	}
	s.Outf("version %d  %s\n", v.Bundle.Version, v.Bundle.Note)
	if l.Signed == nil {
		s.Outf("not signed\n")
	} else {
		s.Outf("signed by %s; digest %s\n", strings.Join(v.Signers, " and "), v.Digest)
	}
	o.print(v.Bundle)
	return nil
}

func (o *Options) loadBundle(x context.Context) (source.LoadedBundle, error) {
	if o.file == "" {
		return o.FromPlatform(x)
	}
	return o.FromFile(x, o.file)
}

func (o *Options) print(b *bundle.Bundle) {
	s := o.factory.Streams
	for _, g := range b.Groups {
		s.Outf("group %s\n", g.Name)
		for _, m := range g.Members {
			s.Outf("  %-20s %-22s %s/%s  slots %d, connections %d", m.Name, m.Address, m.Region, m.FailureDomain, m.Slots, m.Connections)
			if m.Draining {
				s.Outf(", leaving")
			}
			s.Outf("\n")
		}
	}
	for i := range bundle.RankCount {
		r := bundle.Rank(i)
		l := b.Ranks.Of(r)
		d, _ := l.Deadline.MarshalText()
		s.Outf("rank %-11s deadline %s, share %g, worth %g\n", r, d, l.Share, l.Worth)
	}
	for _, c := range b.ReadClasses {
		d, _ := c.Age.MarshalText()
		s.Outf("read class %s: age %s, own writes %t\n", c.Name, d, c.OwnWrites)
	}
	for _, c := range b.Callers {
		s.Outf("caller %s: %s, groups %s\n", c.Name, c.Rank, strings.Join(c.Groups, ", "))
	}
}
