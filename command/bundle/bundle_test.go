package bundle_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/bundle"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/standin/kv"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Bundle commands")
}

var _ = Describe("bundle commands", func() {
	var dir string
	var out, errs bytes.Buffer

	run := func(args ...string) int {
		out.Reset()
		errs.Reset()
		f := &factory.Factory{Streams: &factory.Streams{Out: &out, Err: &errs}}
		return command.Execute(context.Background(), f, bundle.NewCmdBundle(f), args)
	}
	file := func(n string) string { return filepath.Join(dir, n) }
	write := func(n, text string) string {
		Expect(os.WriteFile(file(n), []byte(text), 0o600)).To(Succeed())
		return file(n)
	}
	initial := func(size string) string {
		Expect(run("init", "--size", size)).To(Equal(command.ExitOK))
		return out.String()
	}

	BeforeEach(func() { dir = GinkgoT().TempDir() })

	DescribeTable("reject wrong arguments with an exit code and a message", func(want int, message string, args ...string) {
		Expect(run(args...)).To(Equal(want))
		Expect(errs.String()).To(ContainSubstring(message))
	},
		Entry("init with an unknown size", command.ExitUsage, "--size must be", "init", "--size", "huge"),
		Entry("init for an unknown user", command.ExitUsage, "--for must be", "init", "--for", "nobody"),
		Entry("check without a file", command.ExitUsage, "specify a bundle file", "check"),
		Entry("check a missing file", command.ExitError, "no such file", "check", "nosuch.yaml"),
		Entry("diff without a file", command.ExitUsage, "specify the new bundle", "diff"),
		Entry("show without a platform", command.ExitUsage, "specify --platform", "show"),
		Entry("push without keys", command.ExitUsage, "required", "push", "x.json"),
	)

	DescribeTable("init writes an example that check accepts", func(want string, args ...string) {
		Expect(run(append([]string{"init"}, args...)...)).To(Equal(command.ExitOK))
		text := out.String()
		Expect(text).To(ContainSubstring(want))
		Expect(run("check", write("b.yaml", text))).To(Equal(command.ExitOK), out.String())
	},
		Entry("small without a flag", "one database group"),
		Entry("medium", "two regions", "--size", "medium"),
		Entry("large", "more slots", "--size", "large"),
		Entry("by a former name", "two regions", "--for", "lankaglow"),
	)

	DescribeTable("check reports the file, line and path of an error", func(from, to, want string) {
		p := write("b.yaml", strings.Replace(initial("medium"), from, to, 1))
		Expect(run("check", p)).To(Equal(command.ExitRefused))
		Expect(out.String()).To(HavePrefix(p + ":"))
		Expect(out.String()).To(ContainSubstring(want))
		Expect(run("check", "--json", p)).To(Equal(command.ExitRefused))
		var v []struct {
			Valid  bool
			Faults []struct{ Line int }
		}
		Expect(json.Unmarshal(out.Bytes(), &v)).To(Succeed())
		Expect(v[0].Valid).To(BeFalse())
		Expect(v[0].Faults[0].Line).To(BeNumerically(">", 1))
	},
		Entry("slots", "slots: 3", "slots: 30", ": groups[0].members[0].connections: must be at least 34"),
		Entry("unknown key", "slots:", "slot:", `: unknown field "slot"`),
		Entry("duplicate", "name: orders-1-2", "name: orders-1-1", "is already used at groups[0].members[0].name"),
	)

	It("create, sign, push, show and compare bundles, and refuse a push of an older version", func() {
		s, err := kv.NewServer(kv.Config{Listen: "127.0.0.1:0"})
		Expect(err).NotTo(HaveOccurred())
		x, stop := context.WithCancel(context.Background())
		defer stop()
		g := &errgroup.Group{}
		g.Go(func() error { return s.Run(x) })
		key := func(n string) string {
			Expect(run("keygen", "--out", file(n+".key"), n)).To(Equal(command.ExitOK))
			return strings.TrimSpace(out.String())
		}
		trust := []string{"--platform", s.Address(), "--author", key("anna"), "--approver", key("ops")}
		push := func(p string) int {
			Expect(run("sign", "--author", file("anna.key"), "--approver", file("ops.key"), "--out", file("b.json"), p)).To(Equal(command.ExitOK))
			return run(append(append([]string{"push"}, trust...), file("b.json"))...)
		}
		first := initial("large")
		Expect(push(write("1.yaml", first))).To(Equal(command.ExitOK))
		Expect(run(append([]string{"show"}, trust...)...)).To(Equal(command.ExitOK))
		Expect(out.String()).To(ContainSubstring("signed by anna and ops"))
		second := write("2.yaml", strings.Replace(strings.Replace(first, "version: 1", "version: 2", 1), "slots: 5", "slots: 6", 1))
		Expect(run(append(append([]string{"diff"}, trust...), second)...)).To(Equal(command.ExitOK))
		Expect(out.String()).To(Equal("version 1 to 2\n~ groups[bookings-1].members[bookings-1-1].slots: 5 -> 6\n~ version: 1 -> 2\n"))
		Expect(push(second)).To(Equal(command.ExitOK))
		Expect(push(file("1.yaml"))).To(Equal(command.ExitRefused))
		Expect(errs.String()).To(ContainSubstring("superseded by version 2"))
		stop()
		Expect(g.Wait()).To(Succeed())
	})
})
