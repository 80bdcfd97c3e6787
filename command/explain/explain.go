// Package explain implements the command that explains where a request would go now.
package explain

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/explanation"
)

// Error is the class of all failures of this package.
var Error = errs.Class("explain")

// queryTimeout bounds the query.
const queryTimeout = 3 * time.Second

// Options are the flags of the command.
type Options struct {
	Daemon   string `long:"daemon" env:"DRAGONFLYPICK_DAEMON" required:"true" description:"Address and port (HOST:PORT) on which the daemon serves metrics"`
	Database string `long:"database" required:"true" description:"Database that the request names"`
	Kind     string `long:"kind" required:"true" description:"Kind of the request, a single statement: read or write"`
	Team     string `long:"team" description:"Name of the caller's team; keys are never given"`
	Floor    string `long:"floor" value-name:"TERM.NUMBER" description:"Log position of the session's last write"`
	JSON     bool   `long:"json" description:"Print JSON"`

	factory *factory.Factory
}

// NewCmdExplain returns the command. Tests pass runF to replace explainRun.
func NewCmdExplain(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = explainRun
	}
	return &command.Command{
		Name: "explain", Short: "Explain where a request would go now", Options: o,
		Long: "Ask a daemon where it would send a request now, and why, without sending it. Exits with 0 also if the request would be refused, " +
			"with 1 if the daemon can't be asked, and with 3 if it doesn't know the database or the team.",
		Example: "dragonflypick explain --daemon 10.0.0.1:7440 --database orders --kind write --team billing\n" +
			"dragonflypick explain --daemon 10.0.0.1:7440 --database orders --kind read --floor 3.1200 --json",
		Run: func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func explainRun(x context.Context, o *Options) error {
	q, err := o.query()
	if err != nil {
		return err
	}
	e, err := fetch(x, o.Daemon, q)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(e)
	}
	return printText(o.factory.Streams.Out, e)
}

func (o *Options) query() (explanation.Query, error) {
	q := explanation.Query{Database: o.Database, Kind: explanation.Kind(o.Kind), Team: o.Team}
	if _, _, err := net.SplitHostPort(o.Daemon); err != nil {
		return q, &command.FlagError{Reason: "--daemon must be an address and a port"}
	}
	if q.Kind != explanation.Read && q.Kind != explanation.Write {
		return q, &command.FlagError{Reason: "--kind must be read or write"}
	}
	if o.Floor == "" {
		return q, nil
	}
	var err error
	if q.Floor, err = explanation.ParseFloor(o.Floor); err != nil {
		return q, &command.FlagError{Reason: "--floor must be a position such as 3.1200"}
	}
	return q, nil
}

// UnreachableError reports that a daemon didn't answer.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "daemon " + e.Address + " doesn't answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NotServedError reports an answer of a server that explains nothing.
type NotServedError struct {
	Address    string
	StatusCode int
}

func (e *NotServedError) Error() string {
	return e.Address + " explains no requests (HTTP status " + strconv.Itoa(e.StatusCode) + "): only daemons on the platform do, at the address of their metrics"
}

func fetch(x context.Context, address string, q explanation.Query) (explanation.Explanation, error) {
	var e explanation.Explanation
	x, stop := context.WithTimeout(x, queryTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+address+explanation.Path+"?"+q.Values().Encode(), nil)
	if err != nil {
		return e, Error.Wrap(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return e, Error.Wrap(&UnreachableError{Address: address, Cause: err})
	}
	defer func() { _ = a.Body.Close() }()
	if !strings.HasPrefix(a.Header.Get("Content-Type"), explanation.ContentType) {
		return e, Error.Wrap(&NotServedError{Address: address, StatusCode: a.StatusCode})
	}
	if a.StatusCode == http.StatusOK {
		return e, Error.Wrap(json.NewDecoder(a.Body).Decode(&e))
	}
	var f explanation.Failure
	if err := json.NewDecoder(a.Body).Decode(&f); err != nil {
		return e, Error.Wrap(err)
	}
	if f.Error == explanation.CodeUnknownName {
		return e, Error.Wrap(&command.RefusedError{Reason: f.Text})
	}
	return e, Error.Wrap(&command.FlagError{Reason: f.Text})
}
