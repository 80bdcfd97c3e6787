package soak_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/command/standin/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak command")
}

var _ = Describe("soak", func() {
	var out, errs bytes.Buffer
	run := func(runF func(context.Context, *soak.Options) error, args ...string) int {
		out.Reset()
		errs.Reset()
		f := &factory.Factory{Streams: &factory.Streams{Out: &out, Err: &errs}}
		return command.Execute(context.Background(), f, soak.NewCmdSoak(f, runF), args)
	}

	It("passes its flags on", func() {
		var o *soak.Options
		n := run(func(_ context.Context, p *soak.Options) error {
			o = p
			return nil
		}, "--edge", "postgres", "--seed", "7", "--runs", "3", "--parallel", "2", "--duration", "5s", "--daemons", "9", "--logs", "d")
		Expect(n).To(Equal(command.ExitOK), errs.String())
		Expect(o.Edge).To(Equal("postgres"))
		Expect(o.Seed).To(Equal(uint64(7)))
		Expect([]int{o.Runs, o.Parallel, o.Daemons, o.Groups}).To(Equal([]int{3, 2, 9, 2}))
		Expect(o.Duration).To(Equal(5 * time.Second))
	})

	DescribeTable("refuses wrong arguments with an exit code and a message", func(message string, args ...string) {
		Expect(run(nil, append(args, "--logs", GinkgoT().TempDir())...)).To(Equal(command.ExitUsage))
		Expect(errs.String()).To(ContainSubstring(message))
	},
		Entry("edge", "the edge must be platform or postgres", "--edge", "x"),
		Entry("runs", "--runs and --parallel must be above zero", "--runs", "0"),
		Entry("daemons", "the number of daemons must be from 2 to 60", "--daemons", "61"),
		Entry("duration", "the duration must be above zero", "--duration", "0s"),
		Entry("seed", "invalid argument", "--seed", "many"),
	)
})
