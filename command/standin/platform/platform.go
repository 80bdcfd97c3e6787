// Package platform implements the command that runs the stand-in of the
// platform's key-value service.
package platform

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/standin/kv"
)

// Options are the flags of the command.
type Options struct {
	Listen  string        `long:"listen" default:"127.0.0.1:8500" description:"IP address and port"`
	HostLag time.Duration `long:"host-lag" default:"1s" description:"Delay after which reads show changes of the list of hosts"`

	factory *factory.Factory
}

// NewCmdPlatform returns the command. Tests pass runF to replace platformRun.
func NewCmdPlatform(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = platformRun
	}
	return &command.Command{
		Name: "platform", Short: "Run the key-value service", Options: o,
		Long:    "Inject faults by POST /standin/fault?down=true&delay=1s&lose-answers=1; restore the store of some time ago by POST /standin/restore?age=3s; GET /standin/counts returns the numbers of calls.",
		Example: "standin platform --listen 127.0.0.1:8500",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func platformRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := kv.NewServer(kv.Config{Listen: o.Listen, HostPrefix: consul.HostPrefix, HostLag: o.HostLag})
	if err != nil {
		return err
	}
	o.factory.Streams.Errf("key-value service on %s\n", s.Address())
	return s.Run(x)
}
