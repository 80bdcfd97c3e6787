// Package factory provides the dependencies of commands: streams, clock and
// logger.
package factory

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mattn/go-isatty"
)

// Streams are a command's input and outputs.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal reports whether Out is a terminal.
	Terminal bool
}

// Factory holds the dependencies of commands.
type Factory struct {
	Streams *Streams
	Now     func() time.Time
}

// New returns a factory for the process's own streams and clock.
func New() *Factory {
	return &Factory{
		Streams: &Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isatty.IsTerminal(os.Stdout.Fd())},
		Now:     time.Now,
	}
}

// Outf prints to the output.
func (s *Streams) Outf(format string, a ...any) { _, _ = fmt.Fprintf(s.Out, format, a...) }

// Errf prints to the error output.
func (s *Streams) Errf(format string, a ...any) { _, _ = fmt.Fprintf(s.Err, format, a...) }

// JSON prints a value as indented JSON.
func (s *Streams) JSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// LogOptions are the flags for logging.
type LogOptions struct {
	Level string `long:"log-level" env:"DRAGONFLYPICK_LOG_LEVEL" default:"info" description:"Minimum level of log lines: trace, debug, info, warn or error"`
	JSON  bool   `long:"log-json" env:"DRAGONFLYPICK_LOG_JSON" description:"Write log lines as JSON"`
}

// Logger returns a logger that writes to the error output.
func (f *Factory) Logger(name string, o LogOptions) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(o.Level), JSONFormat: o.JSON, Output: f.Streams.Err})
}
