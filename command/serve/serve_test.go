package serve

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
)

func TestServe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Serve")
}

var _ = Describe("settings", func() {
	valid := []string{
		"--region", "west", "--failure-domain", "west-1", "--platform", "127.0.0.1:8500", "--secret", "s3cret-value",
		"--author", "anna:AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
		"--approver", "ops:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
	}
	run := func(args ...string) (string, int) {
		var e bytes.Buffer
		f := &factory.Factory{Streams: &factory.Streams{Out: &bytes.Buffer{}, Err: &e}}
		c := NewCmdServe(f, func(_ context.Context, o *Options) error {
			_, err := o.config()
			return err
		})
		r := &command.Command{Name: "dragonflypick", Commands: []*command.Command{c}}
		n := command.Execute(context.Background(), f, r, append([]string{"serve"}, args...))
		return e.String(), n
	}

	It("accepts complete settings", func() {
		s, n := run(valid...)
		Expect(s).To(BeEmpty())
		Expect(n).To(Equal(command.ExitOK))
	})

	DescribeTable("rejects an invalid setting without printing the secret",
		func(want string, args ...string) {
			s, n := run(append(append([]string{}, valid...), args...)...)
			Expect(n).To(Equal(command.ExitUsage))
			Expect(s).To(ContainSubstring(want))
			Expect(s).NotTo(ContainSubstring("s3cret-value"))
		},
		Entry("a name instead of an IP address", "--listen must be an IP address", "--listen", "localhost:6432"),
		Entry("a seed without a port", "--seed must be an IP address", "--seed", "127.0.0.1"),
		Entry("an invalid approver key", "--approver", "--approver", "ops"),
		Entry("a drain time of zero", "--drain-time", "--drain-time", "0s"),
		Entry("a missing certificate", "--tls-certificate", "--tls-certificate", "nosuch.pem"),
	)

	It("lists every invalid setting at once", func() {
		s, n := run("--listen", "x")
		Expect(n).To(Equal(command.ExitUsage))
		for _, w := range []string{"--listen", "--platform", "--region", "--failure-domain", "--secret", "--approver"} {
			Expect(s).To(ContainSubstring(w))
		}
	})
})
