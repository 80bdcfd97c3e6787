// Command standin runs stand-ins for what the proxy talks to, and a load.
package main

import (
	"context"
	"os"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/command/standin"
)

func main() {
	f := factory.New()
	os.Exit(command.Execute(context.Background(), f, standin.NewCmdStandin(f), os.Args[1:]))
}
