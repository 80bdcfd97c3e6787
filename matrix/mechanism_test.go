package matrix_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/matrix"
	"github.com/dragonflypick/dragonflypick/model"
)

// tries is the number of seeds within which a run must show the violation.
const tries = 60

// find returns the first plan, by seed, that breaks a promise while the
// mechanism is off.
func find(p matrix.Plan, promise string) (matrix.Plan, bool) {
	for s := range uint64(tries) {
		p.Seed = s + 1
		if strings.Contains(strings.Join(matrix.Run(p).Violations, "\n"), promise) {
			return p, true
		}
	}
	return p, false
}

var _ = DescribeTable("the matrix sees that a mechanism is off, and is clean with it",
	func(o model.Options, promise string, p matrix.Plan) {
		p.Options = o
		p, ok := find(p, promise)
		Expect(ok).To(BeTrue())
		GinkgoWriter.Println("seen by", p)
		p.Options = model.Options{}
		Expect(matrix.Run(p).Violations).To(BeEmpty())
	},
	Entry("wait for a majority", model.Options{AckBeforeMajority: true}, "was acknowledged and is lost",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
	Entry("fences", model.Options{NoFence: true}, "was acknowledged and is lost",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.LateAnswers, Second: matrix.PrimaryCut, After: time.Second, Wide: true}),
	Entry("no blind retry", model.Options{RetryInDoubt: true}, "ran 2 times",
		matrix.Plan{Step: model.Answering, First: matrix.OwnerKilled}),
	Entry("idempotency keys", model.Options{NoKeyLookup: true}, "ran 2 times",
		matrix.Plan{Step: model.Answering, First: matrix.OwnerKilled}),
	Entry("end of the session before a key's look-up", model.Options{KeepSessionOnResolve: true}, "was reported not run and has run",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.LateAnswers, Second: matrix.PrimaryFrozen}),
	Entry("doubt after a lost connection", model.Options{DisconnectAsNotRun: true}, "was reported not run and has run",
		matrix.Plan{Step: model.Committed, First: matrix.SilentConnection}),
	Entry("settled term before an outcome", model.Options{ResolveBeforeMajority: true}, "was acknowledged and is lost",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
	Entry("session floors", model.Options{NoFloor: true}, "doesn't show write",
		matrix.Plan{Step: model.Classified, First: matrix.ReplicaBehind}),
	Entry("confirmed floors of sessions without a token", model.Options{UnconfirmedFloor: true}, "doesn't show write",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.DomainCut, Wide: true}),
	Entry("matched answers", model.Options{UnmatchedAnswers: true}, "got the answer to",
		matrix.Plan{Step: model.SentToPrimary, First: matrix.LateAnswers}),
	Entry("rising bundle versions", model.Options{AcceptLowerVersion: true}, "fell to a lower version",
		matrix.Plan{Step: model.Classified, First: matrix.PlatformSlow, Second: matrix.LateAnswers}),
	Entry("compare-and-swap of bundles", model.Options{PushWithoutCAS: true}, "of the racing bundles won",
		matrix.Plan{Step: model.Classified, First: matrix.RacingOperators}),
	Entry("reading back after a lost answer", model.Options{NoReadBack: true}, "its operator was told that it isn't",
		matrix.Plan{Step: model.Classified, First: matrix.PlatformAnswerLost}),
	Entry("failover after a kill", model.Options{NoFailover: true}, "gap in service",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryKilled}),
	Entry("failover after a cut", model.Options{NoFailover: true}, "gap in service",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
)
