// Command standin runs stand-ins of the platform and of databases, a load
// generator and measurements.
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
