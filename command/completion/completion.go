// Package completion implements the command that prints a shell completion
// script.
package completion

import (
	"context"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// bashScript gets the completions from the program itself, which prints them if
// GO_FLAGS_COMPLETION is set.
const bashScript = `_dragonflypick() {
	local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -F _dragonflypick dragonflypick
`

// Options are the arguments of the command.
type Options struct {
	factory *factory.Factory
	shell   string
}

// NewCmdCompletion returns the command. Tests pass runF to replace completionRun.
func NewCmdCompletion(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = completionRun
	}
	return &command.Command{
		Name: "completion", Short: "Print a script for shell completion",
		Example: "source <(dragonflypick completion bash)",
		Run: func(x context.Context, a []string) error {
			if len(a) != 1 || a[0] != "bash" {
				return &command.FlagError{Reason: "specify a shell: bash"}
			}
			o.shell = a[0]
			return runF(x, o)
		},
	}
}

func completionRun(_ context.Context, o *Options) error {
	o.factory.Streams.Outf("%s", bashScript)
	return nil
}
