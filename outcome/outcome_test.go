package outcome_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/outcome"
)

func TestOutcome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outcome")
}

var _ = Describe("a transaction", func() {
	p := logpos.Position{Term: 3, Offset: 7}
	sent := outcome.Forwarded{MayCommit: true}
	at := outcome.Committed{Position: p}
	type list = []outcome.Event

	DescribeTable("returns the actions for its events",
		func(hasKey bool, events list, want ...outcome.Action) {
			t := outcome.New(hasKey)
			var got []outcome.Action
			for _, e := range events {
				got = append(got, t.Handle(e)...)
			}
			Expect(got).To(Equal(want))
		},
		Entry("a read is done when it is answered", false, list{outcome.Forwarded{}, outcome.Answered{}}, outcome.Done{}),
		Entry("a read whose connection breaks is not run", false, list{outcome.Forwarded{}, outcome.Disconnected{}}, outcome.NotRun{Reason: outcome.ConnectionLost}),
		Entry("a write without a reported position is done when it is answered", false, list{sent, outcome.Answered{}}, outcome.Done{}),
		Entry("a write with a position waits for a majority", false, list{sent, at, outcome.Answered{}}, outcome.AwaitMajority{Position: p}),
		Entry("a write is done once a majority has its position", false, list{sent, at, outcome.Answered{}, outcome.Durable{}}, outcome.AwaitMajority{Position: p}, outcome.Done{Position: p}),
		Entry("a write is in doubt if its deadline passes before a majority has its position", false, list{sent, at, outcome.Answered{}, outcome.Expired{}, outcome.Durable{}},
			outcome.AwaitMajority{Position: p}, outcome.InDoubt{Reason: outcome.MajorityTimeout}),
		Entry("a write whose term ends is done if the next term's log contains its position", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.PositionResolved{Present: true}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}, outcome.Done{Position: p}),
		Entry("a write whose term ends is not run if the next term's log lacks its position", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.PositionResolved{}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}, outcome.NotRun{Reason: outcome.LostWithTerm}),
		Entry("a write whose term ends is in doubt if its position isn't resolved in time", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.Expired{}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}, outcome.InDoubt{Reason: outcome.TermEnded}),
		Entry("a confirmation by a majority after the term has ended is ignored", false, list{sent, at, outcome.Answered{}, outcome.TermSuperseded{}, outcome.Durable{}},
			outcome.AwaitMajority{Position: p}, outcome.ResolvePosition{Position: p}),
		Entry("a transaction whose connection breaks before a commit is sent is not run", false, list{outcome.Forwarded{}, outcome.Disconnected{}, outcome.Durable{}}, outcome.NotRun{Reason: outcome.ConnectionLost}),
		Entry("a transaction whose connection breaks after a commit was sent is in doubt", false, list{sent, outcome.Disconnected{}}, outcome.InDoubt{Reason: outcome.ConnectionLost}),
		Entry("a transaction whose connection breaks after its position was reported waits for a majority", false, list{sent, at, outcome.Disconnected{}, outcome.Durable{}}, outcome.AwaitMajority{Position: p}, outcome.Done{Position: p}),
		Entry("a transaction with a key whose connection breaks is resolved from the key", true, list{sent, outcome.Disconnected{}}, outcome.ResolveKey{}),
		Entry("a transaction with a key is done if the key is present", true, list{sent, outcome.Disconnected{}, outcome.KeyResolved{Present: true, Position: p}}, outcome.ResolveKey{}, outcome.Done{Position: p}),
		Entry("a transaction with a key is not run if the key is absent", true, list{sent, outcome.Disconnected{}, outcome.KeyResolved{}}, outcome.ResolveKey{}, outcome.NotRun{Reason: outcome.KeyAbsent}),
		Entry("a transaction with a key is in doubt if the key isn't resolved in time", true, list{sent, outcome.Disconnected{}, outcome.Expired{}, outcome.KeyResolved{}}, outcome.ResolveKey{}, outcome.InDoubt{Reason: outcome.ConnectionLost}),
		Entry("a write whose deadline passes before its answer is handled as if its connection had broken", false, list{sent, outcome.Expired{}}, outcome.InDoubt{Reason: outcome.ConnectionLost}),
		Entry("a write waits for the furthest of its positions", false, list{sent, at, outcome.Committed{Position: logpos.Position{Term: 3, Offset: 5}}, outcome.Answered{}}, outcome.AwaitMajority{Position: p}),
	)
})
