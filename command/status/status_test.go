package status

import (
	"bytes"
	"context"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admin"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

func TestStatus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Status")
}

func daemonStatus(id string, term uint64, owner string, waiting int) admin.Status {
	return admin.Status{ID: id, BundleVersion: 3, Groups: []admin.Group{{
		Name: "orders", Term: term, Members: []admin.Member{{
			Name: "orders-1", Role: "primary", Position: "2/9", Owner: owner, Queues: [bundle.RankCount]int{waiting, 0, 1},
		}},
	}}}
}

var _ = Describe("status", func() {
	statuses := map[string]admin.Status{
		"a": daemonStatus("daemon-a", 1, "daemon-b", 0),
		"b": daemonStatus("daemon-b", 2, "daemon-b", 7),
	}
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		f := &factory.Factory{Streams: &factory.Streams{Out: &out, Err: &bytes.Buffer{}}}
		c := NewCmdStatus(f, func(x context.Context, o *Options) error {
			o.fetchStatus = func(_ context.Context, a string) (admin.Status, error) {
				s, ok := statuses[a]
				if !ok {
					return s, errors.New("connection refused")
				}
				return s, nil
			}
			return statusRun(x, o)
		})
		r := &command.Command{Name: "dragonflypick", Commands: []*command.Command{c}}
		n := command.Execute(context.Background(), f, r, append([]string{"status"}, args...))
		return out.String(), n
	}

	It("shows a group as reported by the daemon with the highest term, and the queues as reported by the member's owner", func() {
		s, n := run("--admin", "a", "--admin", "b")
		Expect(n).To(Equal(command.ExitOK))
		Expect(s).To(MatchRegexp(`orders\s+2\s+orders-1\s+primary\s+2/9\s+false\s+daemon-b\s+7/0/1`))
	})

	It("shows the error of a daemon that does not respond, and exits with 1", func() {
		s, n := run("--admin", "a", "--admin", "z")
		Expect(n).To(Equal(command.ExitError))
		Expect(s).To(ContainSubstring("z      no answer: connection refused"))
	})

	It("prints JSON", func() {
		s, n := run("--admin", "a", "--json")
		Expect(n).To(Equal(command.ExitOK))
		Expect(s).To(ContainSubstring(`"id": "daemon-a"`))
	})

	It("requires an admin address", func() {
		_, n := run()
		Expect(n).To(Equal(command.ExitUsage))
	})
})
