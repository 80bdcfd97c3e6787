package matrix_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/command/standin/matrix"
)

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "matrix command")
}

var _ = Describe("matrix", func() {
	var out, errs bytes.Buffer
	run := func(args ...string) int {
		out.Reset()
		errs.Reset()
		f := &factory.Factory{Streams: &factory.Streams{Out: &out, Err: &errs}}
		return command.Execute(context.Background(), f, matrix.NewCmdMatrix(f, nil), args)
	}

	It("tells how many plans broke a promise", func() {
		Expect(run("--seed", "7", "--runs", "3")).To(Equal(command.ExitOK), errs.String())
		Expect(out.String()).To(Equal("3 plans from seed 7, 0 broke a promise\n"))
	})

	It("prints JSON", func() {
		Expect(run("--runs", "2", "--json")).To(Equal(command.ExitOK))
		var r struct {
			Runs   int
			Broken []any
		}
		Expect(json.Unmarshal(out.Bytes(), &r)).To(Succeed())
		Expect(r.Runs).To(Equal(2))
		Expect(r.Broken).To(BeEmpty())
	})

	It("traces a run, the same each time", func() {
		Expect(run("--seed", "9", "--runs", "1", "--trace")).To(Equal(command.ExitOK))
		first := out.String()
		Expect(first).To(ContainSubstring("record 1 by"))
		Expect(run("--seed", "9", "--runs", "1", "--trace")).To(Equal(command.ExitOK))
		Expect(out.String()).To(Equal(first))
	})

	DescribeTable("refuses wrong arguments with an exit code and a message", func(message string, args ...string) {
		Expect(run(args...)).To(Equal(command.ExitUsage))
		Expect(errs.String()).To(ContainSubstring(message))
	},
		Entry("runs", "--runs must be from 1 to 1000000", "--runs", "0"),
		Entry("seed", "invalid argument", "--seed", "many"),
		Entry("seeds", "must not exceed the greatest seed", "--seed", "18446744073709551615"),
		Entry("trace", "--trace needs --runs 1", "--trace"),
	)
})
