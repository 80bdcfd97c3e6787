package outcome_test

import (
	"flag"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/outcome"
)

// drawEvent draws any event.
func drawEvent(t *rapid.T) outcome.Event {
	p := logpos.Position{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Offset: rapid.Uint64Range(1, 9).Draw(t, "offset")}
	yes := rapid.Bool().Draw(t, "yes")
	return rapid.SampledFrom([]outcome.Event{
		outcome.Forwarded{MayCommit: yes},
		outcome.Committed{Position: p},
		outcome.Answered{},
		outcome.Disconnected{},
		outcome.Durable{},
		outcome.TermSuperseded{},
		outcome.PositionResolved{Present: yes},
		outcome.KeyResolved{Present: yes, Position: p},
		outcome.Expired{},
	}).Draw(t, "event")
}

// endsTransaction reports whether an action ends the transaction. Done without a
// position only permits sending the answer of a statement that hasn't committed.
func endsTransaction(a outcome.Action) bool {
	switch x := a.(type) {
	case outcome.Done:
		return !x.Position.IsZero()
	case outcome.NotRun, outcome.InDoubt:
		return true
	default:
		return false
	}
}

var _ = Describe("a transaction with events in any order", func() {
	BeforeEach(func() {
		const seed = "20260101"
		Expect(flag.Set("rapid.seed", seed)).To(Succeed())
		Expect(flag.Set("rapid.checks", "2000")).To(Succeed())
		Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
		GinkgoWriter.Println("rapid seed", seed)
	})

	It("ends at most once and then returns no actions", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := outcome.New(rapid.Bool().Draw(t, "has key"))
			ended := false
			for range 20 {
				for _, a := range x.Handle(drawEvent(t)) {
					if ended {
						t.Fatalf("%T after the end", a)
					}
					ended = endsTransaction(a)
				}
			}
		})
	})

	It("is reported as not run after it may have committed only if it was resolved as absent", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := outcome.New(rapid.Bool().Draw(t, "has key"))
			mayHaveCommitted, committed, absent := false, false, false
			for range 20 {
				e := drawEvent(t)
				switch y := e.(type) {
				case outcome.Forwarded:
					mayHaveCommitted = mayHaveCommitted || y.MayCommit
				case outcome.Committed:
					mayHaveCommitted, committed = true, true
				case outcome.Answered:
					mayHaveCommitted = committed
				case outcome.PositionResolved:
					absent = absent || !y.Present
				case outcome.KeyResolved:
					absent = absent || !y.Present
				}
				for _, a := range x.Handle(e) {
					if _, ok := a.(outcome.NotRun); ok && mayHaveCommitted && !absent {
						t.Fatalf("not run after %T", e)
					}
				}
			}
		})
	})

	It("is done with a position only if the position is durable or was resolved as present", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := outcome.New(rapid.Bool().Draw(t, "has key"))
			for range 20 {
				e := drawEvent(t)
				for _, a := range x.Handle(e) {
					d, ok := a.(outcome.Done)
					if !ok || d.Position.IsZero() {
						continue
					}
					switch e.(type) {
					case outcome.Durable, outcome.PositionResolved, outcome.KeyResolved:
					default:
						t.Fatalf("done at %s after %T", d.Position, e)
					}
				}
			}
		})
	})
})
