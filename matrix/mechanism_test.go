package matrix_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/matrix"
	"github.com/dragonflypick/dragonflypick/model"
)

// maxSeeds is the number of seeds within which a run must show the violation.
const maxSeeds = 60

// findViolation returns the first plan, by seed, that breaks a promise while the
// mechanism is off.
func findViolation(p matrix.Plan, promise string) (matrix.Plan, bool) {
	for s := range uint64(maxSeeds) {
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
		p, ok := findViolation(p, promise)
		Expect(ok).To(BeTrue())
		GinkgoWriter.Println("seen by", p)
		p.Options = model.Options{}
		Expect(matrix.Run(p).Violations).To(BeEmpty())
	},
	Entry("wait for a majority", model.Options{AckAtOnce: true}, "was acknowledged and is lost",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
	Entry("fences", model.Options{NoFence: true}, "was acknowledged and is lost",
		matrix.Plan{Step: model.Forwarded, First: matrix.MessagesReordered, Second: matrix.PrimaryCut, After: time.Second, FiveMembers: true}),
	Entry("no blind retry", model.Options{RetryBlindly: true}, "ran 2 times",
		matrix.Plan{Step: model.Answering, First: matrix.OwnerKilled}),
	Entry("idempotency keys", model.Options{NoKeys: true}, "ran 2 times",
		matrix.Plan{Step: model.Answering, First: matrix.OwnerKilled}),
	Entry("end of the session before a key's look-up", model.Options{BlindResolve: true}, "was reported not run and has run",
		matrix.Plan{Step: model.Forwarded, First: matrix.MessagesReordered, Second: matrix.PrimaryFrozen}),
	Entry("doubt after a lost connection", model.Options{LostIsNotRun: true}, "was reported not run and has run",
		matrix.Plan{Step: model.Committed, First: matrix.SilentConnection}),
	Entry("settled term before an outcome", model.Options{EarlyResolve: true}, "was acknowledged and is lost",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
	Entry("session floors", model.Options{NoFloor: true}, "doesn't show write",
		matrix.Plan{Step: model.Classified, First: matrix.ReplicaLagging}),
	Entry("confirmed floors of sessions without a token", model.Options{NoConfirm: true}, "doesn't show write",
		matrix.Plan{Step: model.Forwarded, First: matrix.DomainCut, FiveMembers: true}),
	Entry("matched answers", model.Options{Unmatched: true}, "got the answer to",
		matrix.Plan{Step: model.Forwarded, First: matrix.MessagesReordered}),
	Entry("rising bundle versions", model.Options{AcceptLower: true}, "fell to a lower version",
		matrix.Plan{Step: model.Classified, First: matrix.PlatformSlow, Second: matrix.MessagesReordered}),
	Entry("compare-and-swap of bundles", model.Options{BlindPush: true}, "of the racing bundles won",
		matrix.Plan{Step: model.Classified, First: matrix.ConcurrentPushes}),
	Entry("reading back after a lost answer", model.Options{NoReadBack: true}, "its operator was told that it isn't",
		matrix.Plan{Step: model.Classified, First: matrix.PlatformAnswerLost}),
	Entry("failover after a kill", model.Options{NoFailover: true}, "gap in service",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryKilled}),
	Entry("failover after a cut", model.Options{NoFailover: true}, "gap in service",
		matrix.Plan{Step: model.Classified, First: matrix.PrimaryCut}),
)
