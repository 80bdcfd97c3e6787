// Command dragonflypick is a database proxy with session consistency.
package main

import (
	"context"
	"os"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/command/root"
)

func main() {
	f := factory.New()
	os.Exit(command.Execute(context.Background(), f, root.NewCmdRoot(f), os.Args[1:]))
}
