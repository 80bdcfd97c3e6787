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
		Entry("a read", false, list{write.Forwarded{}, write.Answered{}}, write.Done{}),
		Entry("a read whose connection broke", false, list{write.Forwarded{}, write.Disconnected{}}, write.NotRun{Reason: write.ConnectionLost}),
		Entry("a write that failed", false, list{sent, write.Answered{}}, write.Done{}),
		Entry("a write waits for a majority", false, list{sent, at, write.Answered{}}, write.AwaitMajority{Position: p}),
		Entry("and is done then", false, list{sent, at, write.Answered{}, write.Durable{}}, write.AwaitMajority{Position: p}, write.Done{Position: p}),
		Entry("and in doubt at its deadline", false, list{sent, at, write.Answered{}, write.Expired{}, write.Durable{}},
			write.AwaitMajority{Position: p}, write.InDoubt{Reason: write.MajorityTimeout}),
		Entry("an ended term is looked into", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.PositionResolved{Present: true}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}, write.Done{Position: p}),
		Entry("and may have lost the write", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.PositionResolved{}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}, write.NotRun{Reason: write.LostWithTerm}),
		Entry("or leaves it in doubt", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.Expired{}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}, write.InDoubt{Reason: write.TermEnded}),
		Entry("no late confirmation counts after the term", false, list{sent, at, write.Answered{}, write.TermSuperseded{}, write.Durable{}},
			write.AwaitMajority{Position: p}, write.ResolvePosition{Position: p}),
		Entry("a broken connection before a commit", false, list{write.Forwarded{}, write.Disconnected{}, write.Durable{}}, write.NotRun{Reason: write.ConnectionLost}),
		Entry("a broken connection after a commit was sent", false, list{sent, write.Disconnected{}}, write.InDoubt{Reason: write.ConnectionLost}),
		Entry("a broken connection after the position", false, list{sent, at, write.Disconnected{}, write.Durable{}}, write.AwaitMajority{Position: p}, write.Done{Position: p}),
		Entry("a key is looked up", true, list{sent, write.Disconnected{}}, write.ResolveKey{}),
		Entry("and found", true, list{sent, write.Disconnected{}, write.KeyResolved{Present: true, Position: p}}, write.ResolveKey{}, write.Done{Position: p}),
		Entry("or absent for good", true, list{sent, write.Disconnected{}, write.KeyResolved{}}, write.ResolveKey{}, write.NotRun{Reason: write.KeyAbsent}),
		Entry("or not known in time", true, list{sent, write.Disconnected{}, write.Expired{}, write.KeyResolved{}}, write.ResolveKey{}, write.InDoubt{Reason: write.ConnectionLost}),
		Entry("a deadline while it runs counts as a broken connection", false, list{sent, write.Expired{}}, write.InDoubt{Reason: write.ConnectionLost}),
		Entry("the later position counts", false, list{sent, at, write.Committed{Position: logpos.Position{Term: 3, Offset: 5}}, write.Answered{}}, write.AwaitMajority{Position: p}),
	)
})
