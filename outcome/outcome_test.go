package outcome_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/outcome"
)

func TestWrite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Write")
}

var _ = Describe("a transaction", func() {
	p := logpos.Position{Term: 3, Offset: 7}
	sent := outcome.Forwarded{MayCommit: true}
	at := outcome.Committed{Position: p}
	type list = []outcome.Event

	DescribeTable("decides on its outcome",
		func(keyed bool, events list, want ...outcome.Action) {
			t := outcome.New(keyed)
			var got []outcome.Action
			for _, e := range events {
				got = append(got, t.Handle(e)...)
			}
			Expect(got).To(Equal(want))
		},
		Entry("a read", false, list{outcome.Forwarded{}, outcome.Answered{}}, outcome.Done{}),
		Entry("a read whose connection broke", false, list{outcome.Forwarded{}, outcome.Disconnected{}}, outcome.NotRun{Reason: outcome.ConnectionLost}),
		Entry("a write that failed", false, list{sent, outcome.Answered{}}, outcome.Done{}),
		Entry("a write waits for a majority", false, list{sent, at, outcome.Answered{}}, outcome.AwaitMajority{Position: p}),
		Entry("and is done then", false, list{sent, at, outcome.Answered{}, outcome.Durable{}}, outcome.AwaitMajority{Position: p}, outcome.Done{Position: p}),
		Entry("and in doubt at its deadline", false, list{sent, at, outcome.Answered{}, outcome.Expired{}, outcome.Durable{}},
			outcome.AwaitMajority{Position: p}, outcome.InDoubt{Reason: outcome.MajorityTimeout}),
		Entry("an ended term is looked into", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.PositionResolved{Present: true}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}, outcome.Done{Position: p}),
		Entry("and may have lost the write", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.PositionResolved{}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}, outcome.NotRun{Reason: outcome.LostWithTerm}),
		Entry("or leaves it in doubt", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.Expired{}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}, outcome.InDoubt{Reason: outcome.TermEnded}),
		Entry("no late confirmation counts after the term", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.Durable{}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}),
		Entry("a broken connection before a commit", false, list{outcome.Forwarded{}, outcome.Disconnected{}, outcome.Durable{}}, outcome.NotRun{Reason: outcome.ConnectionLost}),
		Entry("a broken connection after a commit was sent", false, list{sent, outcome.Disconnected{}}, outcome.InDoubt{Reason: outcome.ConnectionLost}),
		Entry("a broken connection after the position", false, list{sent, at, outcome.Disconnected{}, outcome.Durable{}}, outcome.AwaitMajority{Position: p}, outcome.Done{Position: p}),
		Entry("a key is looked up", true, list{sent, outcome.Disconnected{}}, outcome.ResolveKey{}),
		Entry("and found", true, list{sent, outcome.Disconnected{}, outcome.KeyResolved{Present: true, Position: p}}, outcome.ResolveKey{}, outcome.Done{Position: p}),
		Entry("or absent for good", true, list{sent, outcome.Disconnected{}, outcome.KeyResolved{}}, outcome.ResolveKey{}, outcome.NotRun{Reason: outcome.KeyAbsent}),
		Entry("or not known in time", true, list{sent, outcome.Disconnected{}, outcome.Expired{}, outcome.KeyResolved{}}, outcome.ResolveKey{}, outcome.InDoubt{Reason: outcome.ConnectionLost}),
		Entry("a deadline while it runs counts as a broken connection", false, list{sent, outcome.Expired{}}, outcome.InDoubt{Reason: outcome.ConnectionLost}),
		Entry("the later position counts", false, list{sent, at, outcome.Committed{Position: logpos.Position{Term: 3, Offset: 5}}, outcome.Answered{}}, outcome.AwaitMajority{Position: p}),
	)
})
