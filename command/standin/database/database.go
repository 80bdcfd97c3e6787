// Package database implements the command that runs the stand-in of a member of
// a database group.
package database

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/database"
)

// readHeaderTimeout bounds reading a request's header.
const readHeaderTimeout = 5 * time.Second

// Options are the flags of the command.
type Options struct {
	Listen        string        `long:"listen" default:"127.0.0.1:5432" description:"IP address and port for connections"`
	FaultListen   string        `long:"fault-listen" description:"IP address and port of the HTTP interface for injecting faults"`
	Primary       string        `long:"primary" description:"Address of the initial primary (default: this member is the primary)"`
	Password      string        `long:"password" env:"DRAGONFLYPICK_BACKEND_PASSWORD" description:"Password required from every connection"`
	Lag           time.Duration `long:"lag" default:"1ms" description:"Delay of replication to this member"`
	ConnectCost   time.Duration `long:"connect-cost" default:"12ms" description:"Processing time of a login"`
	StatementCost time.Duration `long:"statement-cost" default:"1ms" description:"Time that a statement occupies a slot"`
	Slots         int           `long:"slots" default:"3" description:"Maximum number of statements that run concurrently"`
	Connections   int           `long:"connections" default:"20" description:"Maximum number of connections"`

	factory *factory.Factory
}

// NewCmdDatabase returns the command. Tests pass runF to replace databaseRun.
func NewCmdDatabase(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = databaseRun
	}
	return &command.Command{
		Name: "database", Short: "Run one member of a database group", Options: o,
		Long:    "Inject faults through --fault-listen: POST /fault?name=stop-replication|refuse|freeze&on=true, POST /silence, POST /lag?delay=2s.",
		Example: "standin database --listen 127.0.0.1:7001\nstandin database --listen 127.0.0.1:7002 --primary 127.0.0.1:7001",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func databaseRun(x context.Context, o *Options) error {
	if o.Slots <= 0 || o.Connections <= o.Slots {
		return &command.FlagError{Reason: "--slots must be above zero and less than --connections"}
	}
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	m, err := database.New(database.Config{
		Listen: o.Listen, Password: o.Password, Primary: o.Primary, Lag: o.Lag, ConnectCost: o.ConnectCost,
		StatementCost: o.StatementCost, Slots: o.Slots, MaxConnections: o.Connections,
	})
	if err != nil {
		return err
	}
	o.factory.Streams.Errf("%s on %s\n", m.Status().Role, m.Address())
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return m.Run(x) })
	if o.FaultListen != "" {
		g.Go(func() error { return serveFaults(x, o.FaultListen, m.Handler()) })
	}
	return g.Wait()
}

func serveFaults(x context.Context, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(x, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); x.Err() == nil {
		return err
	}
	return nil
}
