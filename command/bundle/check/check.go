// Package check implements the command that checks bundle files.
package check

import (
	"context"
	"errors"
	"os"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// Options are the flags of the command.
type Options struct {
	JSON bool `long:"json" description:"Print JSON"`

	factory *factory.Factory
	files   []string
}

// NewCmdCheck returns the command. Tests pass runF to replace checkRun.
func NewCmdCheck(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = checkRun
	}
	return &command.Command{
		Name: "check", Short: "Check bundle files", Options: o,
		Long:    "Check bundle files and report every error with file, line, column and path. Exits with 3 if a file has an error.",
		Example: "dragonflypick bundle check bundle.yaml",
		Run: func(x context.Context, a []string) error {
			if len(a) == 0 {
				return &command.FlagError{Reason: "specify a bundle file"}
			}
			o.files = a
			return runF(x, o)
		},
	}
}

// fileReport is the result of checking one file.
type fileReport struct {
	File    string         `json:"file"`
	Valid   bool           `json:"valid"`
	Version uint64         `json:"version,omitempty"`
	Faults  []bundle.Fault `json:"faults"`
}

func checkRun(_ context.Context, o *Options) error {
	var all []fileReport
	invalid := false
	for _, f := range o.files {
		t, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		r, err := checkFile(f, t)
		if err != nil {
			return err
		}
		invalid = invalid || !r.Valid
		all = append(all, r)
	}
	if err := o.print(all); err != nil {
		return err
	}
	if invalid {
		return &command.SilentError{Code: command.ExitRefused}
	}
	return nil
}

func checkFile(file string, text []byte) (fileReport, error) {
	b, err := bundle.Parse(file, text)
	var c *bundle.ContentError
	var f *bundle.FormatError
	switch {
	case err == nil:
		return fileReport{File: file, Valid: true, Version: b.Version, Faults: []bundle.Fault{}}, nil
	case errors.As(err, &c):
		return fileReport{File: file, Faults: c.Faults}, nil
	case errors.As(err, &f):
		return fileReport{File: file, Faults: []bundle.Fault{{File: f.File, Line: f.Line, Column: f.Column, Reason: f.Reason}}}, nil
	default:
		return fileReport{}, err
	}
}

func (o *Options) print(all []fileReport) error {
	s := o.factory.Streams
	if o.JSON {
		return s.JSON(all)
	}
	for _, r := range all {
		if r.Valid {
			s.Outf("%s: version %d is valid\n", r.File, r.Version)
		}
		for _, f := range r.Faults {
			s.Outf("%s\n", f)
		}
	}
	return nil
}
