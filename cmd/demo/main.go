// Command demo runs a complete system in one process on loopback: the stand-in
// platform, stand-in database groups and daemons.
package main

import (
	"context"
	"os"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/demo"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

func main() {
	f := factory.New()
	os.Exit(command.Execute(context.Background(), f, demo.NewCmdDemo(f, nil), os.Args[1:]))
}
