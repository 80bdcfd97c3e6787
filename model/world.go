package model

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Options switch off single mechanisms, to show that the checks detect their
// absence.
type Options struct {
	// AckBeforeMajority acknowledges writes without waiting for a majority.
	AckBeforeMajority bool
	// NoFence makes fences succeed without effect, and promotes members to a
	// higher term without a fence.
	NoFence bool
	// RetryInDoubt sends writes of unknown outcome again.
	RetryInDoubt bool
	// NoKeyLookup runs keyed writes without looking up their key.
	NoKeyLookup bool
	// KeepSessionOnResolve looks up a key without ending the session of the
	// write, which may then still run later.
	KeepSessionOnResolve bool
	// DisconnectAsNotRun reports a write whose connection broke as not run.
	DisconnectAsNotRun bool
	// ResolveBeforeMajority resolves a write at a new primary before a majority
	// has reached the primary's term.
	ResolveBeforeMajority bool
	// NoFloor ignores the floors of reads.
	NoFloor bool
	// UnconfirmedFloor uses a primary's position as a floor without the
	// confirmation of a majority that it is still the primary.
	UnconfirmedFloor bool
	// UnmatchedAnswers assigns an answer to the oldest open request on its
	// connection.
	UnmatchedAnswers bool
	// AcceptLowerVersion lets any bundle replace the one in force.
	AcceptLowerVersion bool
	// PushWithoutCAS writes bundles without compare-and-swap.
	PushWithoutCAS bool
	// NoReadBack reports a push without an answer as failed instead of reading
	// the bundle back.
	NoReadBack bool
	// NoFailover keeps daemons from replacing a primary.
	NoFailover bool
	// ValidityFromAnswer counts the validity of a lease from the store's answer
	// instead of from the request. This option and those below only affect a
	// PlatformWorld.
	ValidityFromAnswer bool
	// NoPreviousHolders drops the previous holders from the record when a host
	// acquires the lease.
	NoPreviousHolders bool
	// NoEras leaves the store's era out of positions.
	NoEras bool
	// NoEraStamp takes records of an earlier era for those of the present one.
	NoEraStamp bool
	// NoEraWait doesn't wait after the start of an era.
	NoEraWait bool
	// AnyPromotedMember takes any member that leads a later term for the new primary.
	AnyPromotedMember bool
	// NoPromotionWait requests a promotion while another one may be on its way.
	NoPromotionWait bool
	// NoDrainBound sends new work to a draining member until it is replaced.
	NoDrainBound bool
	// NoIntent promotes without writing the intent into the record.
	NoIntent bool
	// NoPositionCheck doesn't compare a position that a primary reports with
	// the positions that it reported before.
	NoPositionCheck bool
	// AcceptAfterLease accepts a primary's answers after the holder's lease has
	// expired.
	AcceptAfterLease bool
}

// Config configures a world.
type Config struct {
	// Seed is the seed of the random numbers. Runs with equal configurations
	// and equal faults are equal.
	Seed uint64
	// FiveMembers gives the group five members instead of three; two of them
	// are in each failure domain of the first region.
	FiveMembers bool
	Options     Options
}

// WriteStep is a step of a write.
type WriteStep string

// The steps of a write, in order.
const (
	Classified         WriteStep = "classified"
	SentToOwner        WriteStep = "sent-to-owner"
	Queued             WriteStep = "queued"
	ConnectionTaken    WriteStep = "connection-taken"
	SentToPrimary      WriteStep = "sent-to-primary"
	Committed          WriteStep = "committed"
	WaitingForMajority WriteStep = "waiting-for-majority"
	Answering          WriteStep = "answering"
)

// WriteSteps returns all steps of a write.
func WriteSteps() []WriteStep {
	return []WriteStep{Classified, SentToOwner, Queued, ConnectionTaken, SentToPrimary, Committed, WaitingForMajority, Answering}
}

// World simulates package daemon: a database group with its daemons and
// callers, the platform and the network. It is not safe for concurrent use.
type World struct {
	Clock
	Options       Options
	MessageFaults MessageFaults
	// Members, Daemons and Sessions are in the order of their creation.
	Members  []*Member
	Daemons  []*Daemon
	Sessions []*Session
	Platform *Platform
	// OnWriteStep, if set, is called when a write reaches a step.
	OnWriteStep func(WriteStep, Statement)
	// OnPromotion, if set, is called after the promotion of a member.
	OnPromotion func(*Member)
	// Violations are the broken guarantees that were detected during the run.
	Violations []string
	// Writes are the writes of all callers that have ended.
	Writes []Write
	// Reads counts the answered reads.
	Reads int

	random *rand.Rand
	nodes  map[string]*Node
	// cuts holds the pairs of sender and receiver between which messages are
	// lost.
	cuts map[[2]string]bool
	// callers is the common node of all callers.
	callers        *Node
	daemonsStarted int
	// lastNumber is the last number that was used in an ID.
	lastNumber int
	// promotedTerms holds the term of each member's last promotion.
	promotedTerms map[*Member]uint64
}

// locations are the regions and failure domains of every world.
var locations = []Location{{"west", "west-1"}, {"west", "west-2"}, {"north", "north-1"}}

// Sizes of every world.
const (
	daemonCount  = 5
	sessionCount = 5
)

// New creates a world at the start of its run.
func New(c Config) *World {
	w := &World{
		Clock: Clock{now: startTime}, Options: c.Options, random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, promotedTerms: map[*Member]uint64{},
	}
	w.callers = w.newNode("callers", Location{})
	w.newPlatform(locations[0])
	w.newMember("member-0", locations[0], "")
	w.newMember("member-1", locations[1], "member-0")
	w.newMember("member-2", locations[2], "member-0")
	if c.FiveMembers {
		w.newMember("member-3", locations[0], "member-0")
		w.newMember("member-4", locations[1], "member-0")
	}
	for i := range daemonCount {
		w.StartDaemon(locations[i%len(locations)])
	}
	for range sessionCount {
		w.newSession()
	}
	return w
}

// Member returns the member with the given name, or nil.
func (w *World) Member(name string) *Member {
	for _, m := range w.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Daemon returns the daemon with the given host ID, or nil.
func (w *World) Daemon(id string) *Daemon {
	for _, d := range w.Daemons {
		if d.Name == id {
			return d
		}
	}
	return nil
}

// Primary returns the primary of the highest term, or nil if there is no
// primary.
func (w *World) Primary() *Member {
	var p *Member
	for _, m := range w.Members {
		if r, t := m.Role(); r == "primary" && (p == nil || t > p.term) {
			p = m
		}
	}
	return p
}

// Owner returns the daemon that owns a member according to the entry e, or nil.
func (w *World) Owner(e *Daemon, m *Member) *Daemon {
	h, ok := e.view.Owner(m.bundleMember(), w.now)
	if !ok {
		return nil
	}
	return w.Daemon(h.ID)
}

// CutDomain cuts the nodes of a failure domain off from all other nodes but the
// callers.
func (w *World) CutDomain(domain string) {
	for _, a := range w.sortedNodes() {
		for _, b := range w.sortedNodes() {
			if a.Location.FailureDomain == domain && b.Location.FailureDomain != domain && b != w.callers {
				w.Cut(a, b)
			}
		}
	}
}

func (w *World) notifyWriteStep(s WriteStep, x Statement) {
	if w.OnWriteStep != nil {
		w.OnWriteStep(s, x)
	}
}

// recordPromotion records the term of a promotion and checks that no two
// members are promoted in one term.
func (w *World) recordPromotion(m *Member) {
	for o, t := range w.promotedTerms {
		if o != m && t == m.term {
			w.addViolation("two members were promoted in one term")
		}
	}
	w.promotedTerms[m] = m.term
	if w.OnPromotion != nil {
		w.OnPromotion(m)
	}
}

func (w *World) addViolation(s string) { w.Violations = append(w.Violations, s) }

// hostList returns the platform's list of hosts.
func (w *World) hostList() []membership.Host {
	var o []membership.Host
	for _, d := range w.Daemons {
		if d.alive || w.now.Sub(d.endedAt) < killedHostTTL {
			o = append(o, d.host)
		}
	}
	return o
}

// killedHostTTL is how long a killed host stays listed.
const killedHostTTL = 10 * time.Second
