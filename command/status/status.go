// Package status implements the command that shows the status of daemons.
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/admin"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

// Error is the class of all failures of this package.
var Error = errs.Class("status")

// queryTimeout bounds the query to one daemon.
const queryTimeout = 3 * time.Second

// Options are the flags of the command.
type Options struct {
	Admins []string `long:"admin" env:"DRAGONFLYPICK_ADMINS" env-delim:"," required:"true" description:"Admin address of a daemon (its --admin-listen)"`
	JSON   bool     `long:"json" description:"Print JSON"`

	factory     *factory.Factory
	fetchStatus func(context.Context, string) (admin.Status, error)
}

// NewCmdStatus returns the command. Tests pass runF to replace statusRun.
func NewCmdStatus(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f, fetchStatus: fetchStatus}
	if runF == nil {
		runF = statusRun
	}
	return &command.Command{
		Name: "status", Short: "Show daemons, versions, groups and queues", Options: o,
		Long:    "Query daemons for their status. Exits with 1 if a daemon doesn't respond.",
		Example: "dragonflypick status --admin 127.0.0.1:6201 --admin 127.0.0.1:6202\ndragonflypick status --admin 127.0.0.1:6201 --json",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

// QueryResult is the status of one daemon, or the error of querying it.
type QueryResult struct {
	Admin  string        `json:"admin"`
	Error  string        `json:"error,omitempty"`
	Status *admin.Status `json:"status,omitempty"`
}

func statusRun(x context.Context, o *Options) error {
	l := make([]QueryResult, len(o.Admins))
	g := &errgroup.Group{}
	for i, a := range o.Admins {
		g.Go(func() error {
			l[i] = o.queryDaemon(x, a)
			return nil
		})
	}
	_ = g.Wait()
	if err := o.print(l); err != nil {
		return err
	}
	for _, a := range l {
		if a.Status == nil {
			return &command.SilentError{Code: command.ExitError}
		}
	}
	return nil
}

func (o *Options) queryDaemon(x context.Context, address string) QueryResult {
	x, stop := context.WithTimeout(x, queryTimeout)
	defer stop()
	s, err := o.fetchStatus(x, address)
	if err != nil {
		return QueryResult{Admin: address, Error: err.Error()}
	}
	return QueryResult{Admin: address, Status: &s}
}

func fetchStatus(x context.Context, address string) (admin.Status, error) {
	var s admin.Status
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return s, Error.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return s, Error.Wrap(err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return s, Error.Wrap(&HTTPError{StatusCode: r.StatusCode})
	}
	return s, Error.Wrap(json.NewDecoder(r.Body).Decode(&s))
}

func (o *Options) print(l []QueryResult) error {
	if o.JSON {
		return o.factory.Streams.JSON(l)
	}
	w := tabwriter.NewWriter(o.factory.Streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ADMIN\tDAEMON\tREGION\tDOMAIN\tVERSION\tCALLERS\tHOSTS")
	for _, a := range l {
		if a.Status == nil {
			_, _ = fmt.Fprintf(w, "%s\tno answer: %s\n", a.Admin, a.Error)
			continue
		}
		s := a.Status
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", a.Admin, s.ID, s.Region, s.FailureDomain, s.BundleVersion, s.Callers, len(s.HostIDs))
	}
	_, _ = fmt.Fprintln(w, "\nGROUP\tTERM\tMEMBER\tROLE\tPOSITION\tREACHABLE\tOWNER\tWAITING")
	for _, g := range mergeGroups(l) {
		for _, m := range g.Members {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%t\t%s\t%s\n", g.Name, g.Term, m.Name, m.Role, m.Position, m.Reachable, m.Owner, formatQueues(m.Queues))
		}
	}
	return w.Flush()
}

// mergeGroups returns each group as reported by the daemon that has the highest
// term for it. The queues are those reported by the members' owners.
func mergeGroups(l []QueryResult) []admin.Group {
	best := map[string]admin.Group{}
	queues := map[string][bundle.RankCount]int{}
	for _, a := range l {
		if a.Status == nil {
			continue
		}
		for _, g := range a.Status.Groups {
			if b, ok := best[g.Name]; !ok || g.Term > b.Term {
				best[g.Name] = g
			}
			for _, m := range g.Members {
				if m.Owner == a.Status.ID {
					queues[m.Name] = m.Queues
				}
			}
		}
	}
	var o []admin.Group
	for _, g := range best {
		g.Members = append([]admin.Member(nil), g.Members...)
		for i := range g.Members {
			g.Members[i].Queues = queues[g.Members[i].Name]
		}
		o = append(o, g)
	}
	sort.Slice(o, func(i, j int) bool { return o[i].Name < o[j].Name })
	return o
}

func formatQueues(q [bundle.RankCount]int) string {
	s := ""
	for i, n := range q {
		if i > 0 {
			s += "/"
		}
		s += strconv.Itoa(n)
	}
	return s
}

// HTTPError reports an HTTP response with an unexpected status code.
type HTTPError struct{ StatusCode int }

func (e *HTTPError) Error() string {
	return "daemon returned HTTP status " + strconv.Itoa(e.StatusCode)
}
