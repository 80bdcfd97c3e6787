package matrix_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/matrix"
	"github.com/dragonflypick/dragonflypick/model"
)

// maxSeeds is the number of seeds of which one must show the violation.
const maxSeeds = 60

// findViolation runs a plan, in which a mechanism is off, with seeds from 1. It
// returns the plan with the first seed that causes a violation with the given
// text.
func findViolation(p matrix.Plan, violation string) (matrix.Plan, bool) {
	for s := range uint64(maxSeeds) {
		p.Seed = s + 1
		if strings.Contains(strings.Join(matrix.Run(p).Violations, "\n"), violation) {
			return p, true
		}
	}
	return p, false
}

var _ = DescribeTable("without a mechanism some seed shows the violation; with it the same run shows no violation",
	func(o model.Options, violation string, p matrix.Plan) {
		p.Options = o
		p, ok := findViolation(p, violation)
		Expect(ok).To(BeTrue())
		GinkgoWriter.Println("violation in", p)
		p.Options = model.Options{}
		Expect(matrix.Run(p).Violations).To(BeEmpty())
	},
	Entry("waiting for a majority", model.Options{AckBeforeMajority: true}, "was acknowledged but is lost",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
	Entry("fences", model.Options{NoFence: true}, "was acknowledged but is lost",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.MessagesReordered, Second: matrix.PrimaryCut, After: time.Second, FiveMembers: true}),
	Entry("no retry of writes in doubt", model.Options{RetryInDoubt: true}, "ran 2 times",
		matrix.Plan{Step: model.Answering, First: matrix.OwnerKilled}),
	Entry("idempotency keys", model.Options{NoKeyLookup: true}, "ran 2 times",
		matrix.Plan{Step: model.Answering, First: matrix.OwnerKilled}),
	Entry("ending the session before looking up its idempotency key", model.Options{KeepSessionOnResolve: true}, "was reported as not run but has run",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.MessagesReordered, Second: matrix.PrimaryFrozen}),
	Entry("outcome in doubt after a lost connection", model.Options{DisconnectAsNotRun: true}, "was reported as not run but has run",
		matrix.Plan{Step: model.Committed, First: matrix.SilentConnection}),
	Entry("resolving an outcome only when a majority has the later term", model.Options{ResolveBeforeMajority: true}, "was acknowledged but is lost",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
	Entry("session floors", model.Options{NoFloor: true}, "doesn't show write",
		matrix.Plan{Step: model.Classified, First: matrix.ReplicaLagging}),
	Entry("confirmed floors of sessions without a token", model.Options{UnconfirmedFloor: true}, "doesn't show write",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.DomainCut, FiveMembers: true}),
	Entry("matching answers with their requests", model.Options{UnmatchedAnswers: true}, "got the answer to",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.MessagesReordered}),
	Entry("rejecting lower bundle versions", model.Options{AcceptLowerVersion: true}, "fell to a lower version",
		matrix.Plan{Step: model.Classified, First: matrix.PlatformSlow, Second: matrix.MessagesReordered}),
	Entry("compare-and-swap of bundles", model.Options{PushWithoutCAS: true}, "of the concurrent pushes succeeded",
		matrix.Plan{Step: model.Classified, First: matrix.ConcurrentPushes}),
	Entry("reading back after a lost answer", model.Options{NoReadBack: true}, "its push was reported as superseded",
		matrix.Plan{Step: model.Classified, First: matrix.PlatformAnswerLost}),
	Entry("the bound on a draining member", model.Options{NoDrainBound: true}, "a draining member got new work",
		matrix.Plan{Step: model.Classified, First: matrix.MessagesReordered, Second: matrix.PrimaryDraining}),
	Entry("failover after a kill", model.Options{NoFailover: true}, "gap in service",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryKilled}),
	Entry("failover after a cut", model.Options{NoFailover: true}, "gap in service",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
)
