package write_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/write"
)

func TestWrite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Write")
}

var _ = Describe("a transaction", func() {
	p := logpos.Position{Term: 3, Offset: 7}
	sent := write.Forwarded{MayCommit: true}
	at := write.Committed{Position: p}
	type list = []write.Event

	DescribeTable("decides on its outcome",
		func(keyed bool, events list, want ...write.Action) {
			t := write.New(keyed)
			var got []write.Action
			for _, e := range events {
				got = append(got, t.Handle(e)...)
			}
			Expect(got).To(Equal(want))
		},
		Entry("a read is done when it is answered", false, list{write.Forwarded{}, write.Answered{}}, write.Done{}),
		Entry("a read whose connection breaks is not run", false, list{write.Forwarded{}, write.Disconnected{}}, write.NotRun{Reason: write.ConnectionLost}),
		Entry("a write without a reported position is done when it is answered", false, list{sent, write.Answered{}}, write.Done{}),
		Entry("a write with a position waits for a majority", false, list{sent, at, write.Answered{}}, write.AwaitMajority{Position: p}),
		Entry("and is done once a majority has it", false, list{sent, at, write.Answered{}, write.Durable{}}, write.AwaitMajority{Position: p}, write.Done{Position: p}),
		Entry("and is in doubt at its deadline", false, list{sent, at, write.Answered{}, write.Expired{}, write.Durable{}},
			write.AwaitMajority{Position: p}, write.InDoubt{Reason: write.MajorityTimeout}),
		Entry("a write whose term ends is done if the next term's log contains it", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.PositionResolved{Present: true}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}, write.Done{Position: p}),
		Entry("and is not run if that log lacks it", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.PositionResolved{}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}, write.NotRun{Reason: write.LostWithTerm}),
		Entry("and is in doubt if that isn't resolved in time", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.Expired{}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}, write.InDoubt{Reason: write.TermEnded}),
		Entry("a late confirmation by a majority is ignored after the term has ended", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.Durable{}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}),
		Entry("a transaction whose connection breaks before a commit is sent is not run", false, list{write.Forwarded{}, write.Disconnected{}, write.Durable{}}, write.NotRun{Reason: write.ConnectionLost}),
		Entry("a transaction whose connection breaks after a commit was sent is in doubt", false, list{sent, write.Disconnected{}}, write.InDoubt{Reason: write.ConnectionLost}),
		Entry("a transaction whose connection breaks after its position was reported waits for a majority", false, list{sent, at, write.Disconnected{}, write.Durable{}}, write.AwaitMajority{Position: p}, write.Done{Position: p}),
		Entry("with a key, the outcome is resolved from the key", true, list{sent, write.Disconnected{}}, write.ResolveKey{}),
		Entry("and is done if the key is present", true, list{sent, write.Disconnected{}, write.KeyResolved{Present: true, Position: p}}, write.ResolveKey{}, write.Done{Position: p}),
		Entry("and is not run if the key is absent", true, list{sent, write.Disconnected{}, write.KeyResolved{}}, write.ResolveKey{}, write.NotRun{Reason: write.KeyAbsent}),
		Entry("and is in doubt if the key isn't resolved in time", true, list{sent, write.Disconnected{}, write.Expired{}, write.KeyResolved{}}, write.ResolveKey{}, write.InDoubt{Reason: write.ConnectionLost}),
		Entry("a deadline before the answer is handled as a broken connection", false, list{sent, write.Expired{}}, write.InDoubt{Reason: write.ConnectionLost}),
		Entry("a write waits for the furthest of its positions", false, list{sent, at, write.Committed{Position: logpos.Position{Term: 3, Offset: 5}}, write.Answered{}}, write.AwaitMajority{Position: p}),
	)
})
