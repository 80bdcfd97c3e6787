// Package command defines the type Command and runs the command that a program's
// arguments select. The subpackages implement the commands; the programs are in
// cmd.
package command

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflypick/dragonflypick/command/factory"
)

// Command is a command or a group of commands.
type Command struct {
	Name  string
	Short string
	Long  string
	// Example holds example command lines, one per line.
	Example string
	// Options is a pointer to a struct with flag tags, or nil.
	Options any
	// Run is nil for a group of commands.
	Run func(x context.Context, args []string) error
	// Commands are the commands of a group.
	Commands []*Command
}

// Exit codes of all programs.
const (
	ExitOK = 0
	// ExitError means that the command failed.
	ExitError = 1
	// ExitUsage means that a flag, an argument or a setting is wrong.
	ExitUsage = 2
	// ExitRefused means that an input, such as a bundle, was not accepted.
	ExitRefused = 3
	// ExitCheckFailed means that a check found a violation.
	ExitCheckFailed = 4
)

// FlagError reports a wrong flag or argument.
type FlagError struct{ Reason string }

func (e *FlagError) Error() string { return e.Reason }

// RefusedError reports an input that was not accepted.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

// SilentError ends a command with an exit code and without a message, because the
// command's output already shows the failure.
type SilentError struct{ Code int }

func (e *SilentError) Error() string { return "failed" }

// Execute runs the command that the arguments select and returns the exit code.
func Execute(x context.Context, f *factory.Factory, root *Command, args []string) int {
	err := runCommand(x, f, root, args)
	var s *SilentError
	if err != nil && !errors.As(err, &s) {
		f.Streams.Errf("%s: %s\n", root.Name, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var s *SilentError
	var u *FlagError
	var r *RefusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &s):
		return s.Code
	case errors.As(err, &u):
		return ExitUsage
	case errors.As(err, &r):
		return ExitRefused
	default:
		return ExitError
	}
}

func runCommand(x context.Context, f *factory.Factory, root *Command, args []string) error {
	p := flags.NewNamedParser(root.Name, flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription, p.LongDescription = root.Short, root.Long
	if root.Options != nil {
		if _, err := p.AddGroup("Options", "", root.Options); err != nil {
			return err
		}
	}
	commands := map[*flags.Command]*Command{p.Command: root}
	if err := addCommands(p.Command, root, commands); err != nil {
		return err
	}
	p.SubcommandsOptional = root.Run != nil
	p.CommandHandler = func(flags.Commander, []string) error { return nil }
	if os.Getenv("GO_FLAGS_COMPLETION") != "" {
		_, err := p.ParseArgs(args)
		return err
	}
	remaining, err := p.ParseArgs(args)
	if err != nil {
		return handleParseError(f, p, commands, err)
	}
	c := commands[activeCommand(p.Command)]
	if c == nil || c.Run == nil {
		return &FlagError{Reason: "specify a command; see --help"}
	}
	return c.Run(x, remaining)
}

func addCommands(p *flags.Command, c *Command, commands map[*flags.Command]*Command) error {
	for _, s := range c.Commands {
		o := s.Options
		if o == nil {
			o = &struct{}{}
		}
		n, err := p.AddCommand(s.Name, s.Short, s.Long, o)
		if err != nil {
			return err
		}
		n.SubcommandsOptional = s.Run != nil
		commands[n] = s
		if err := addCommands(n, s, commands); err != nil {
			return err
		}
	}
	return nil
}

func activeCommand(c *flags.Command) *flags.Command {
	for c.Active != nil {
		c = c.Active
	}
	return c
}

// handleParseError prints help, or turns the parser's error into a *FlagError.
func handleParseError(f *factory.Factory, p *flags.Parser, commands map[*flags.Command]*Command, err error) error {
	var e *flags.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Type != flags.ErrHelp {
		return &FlagError{Reason: e.Message}
	}
	f.Streams.Outf("%s", e.Message)
	if c := commands[activeCommand(p.Command)]; c != nil && c.Example != "" {
		f.Streams.Outf("\nExamples:\n%s\n", indent(c.Example))
	}
	return nil
}

func indent(s string) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(s), "\n", "\n  ")
}
