package model

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Options switch mechanisms off, to show that the checks see it.
type Options struct {
	// AckAtOnce acknowledges writes without waiting for a majority.
	AckAtOnce bool
	// NoFence lets members take part in any term.
	NoFence bool
	// RetryBlindly sends writes of unknown outcome again.
	RetryBlindly bool
	// NoKeys runs keyed writes without looking for their key.
	NoKeys bool
	// BlindResolve looks a key up without keeping the write from running
	// later.
	BlindResolve bool
	// LostIsNotRun reports a write whose connection broke as not run.
	LostIsNotRun bool
	// EarlyResolve settles a write from a new primary whose term no majority
	// has reached.
	EarlyResolve bool
	// NoFloor drops the floor of reads.
	NoFloor bool
	// NoConfirm takes a primary's position for a floor without asking a majority
	// whether it is still the primary.
	NoConfirm bool
	// Unmatched gives an answer to the oldest request of its connection.
	Unmatched bool
	// AcceptLower lets any bundle replace the one held.
	AcceptLower bool
	// BlindPush writes bundles without compare-and-swap.
	BlindPush bool
	// NoReadBack takes a push without an answer for failed.
	NoReadBack bool
	// NoFailover keeps daemons from replacing a primary.
	NoFailover bool
	// On the users' platform: ValidityFromAnswer counts a holder's time from the store's
	// answer instead of the question.
	ValidityFromAnswer bool
	// NoPrior forgets the earlier holders when a group is taken over.
	NoPrior bool
	// NoIntent promotes without writing the intent into the record.
	NoIntent bool
	// NoPositions doesn't compare what a primary reports with what it reported
	// before.
	NoPositions bool
	// AcceptAfterLease believes a primary's answers after the holder's time.
	AcceptAfterLease bool
}

// Config holds what a world is made of.
type Config struct {
	// Seed makes the random numbers; equal worlds behave equally.
	Seed uint64
	// Wide gives the group five members, two of them in each failure domain of
	// the first region, instead of three.
	Wide    bool
	Options Options
}

// Step is a step of a write.
type Step string

// The steps of a write, in order.
const (
	Classified         Step = "classified"
	SentToOwner        Step = "sent-to-owner"
	Queued             Step = "queued"
	ConnectionTaken    Step = "connection-taken"
	Forwarded          Step = "sent-to-primary"
	Committed          Step = "committed"
	WaitingForMajority Step = "waiting-for-majority"
	Answering          Step = "answering"
)

// Steps returns all steps of a write.
func Steps() []Step {
	return []Step{Classified, SentToOwner, Queued, ConnectionTaken, Forwarded, Committed, WaitingForMajority, Answering}
}

// World is a database group with everything around it. It is not safe for
// concurrent use.
type World struct {
	Clock
	Options Options
	Noise   Noise
	// Members, Daemons and Sessions are in order of their making.
	Members  []*Member
	Daemons  []*Daemon
	Sessions []*Session
	Platform *Platform
	// Reached is told when a write reaches a step; nil if nobody asks.
	Reached func(Step, Statement)
	// Promoted is told of a new primary; nil if nobody asks.
	Promoted func(*Member)
	// Violations are broken promises that were seen while they happened.
	Violations []string
	// Writes are all writes of callers that have ended.
	Writes []Write
	// Reads counts the reads that were answered.
	Reads int

	random         *rand.Rand
	nodes          map[string]*Node
	cuts           map[[2]string]bool
	callers        *Node
	daemonsStarted int
	lastNumber     int
	promotedTerms  map[*Member]uint64
}

// Regions and failure domains of every world.
var locations = []Location{{"west", "west-1"}, {"west", "west-2"}, {"north", "north-1"}}

// Sizes of every world.
const (
	daemonCount  = 5
	sessionCount = 5
)

// New makes a world in which nothing has happened yet.
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
	if c.Wide {
		w.newMember("member-3", locations[0], "member-0")
		w.newMember("member-4", locations[1], "member-0")
	}
	for i := range daemonCount {
		w.AddDaemon(locations[i%len(locations)])
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

// Primary returns the primary of the highest term.
func (w *World) Primary() *Member {
	var p *Member
	for _, m := range w.Members {
		if r, t := m.Role(); r == "primary" && (p == nil || t > p.term) {
			p = m
		}
	}
	return p
}

// Owner returns the daemon that owns a member by the knowledge of an entry.
func (w *World) Owner(e *Daemon, m *Member) *Daemon {
	h, ok := e.view.Owner(m.spec(), w.now)
	if !ok {
		return nil
	}
	return w.Daemon(h.ID)
}

// Cross stops all messages between the nodes of one failure domain and the
// rest, but for callers.
func (w *World) Cross(domain string) {
	for _, a := range w.sortedNodes() {
		for _, b := range w.sortedNodes() {
			if a.Place.Domain == domain && b.Place.Domain != domain && b != w.callers {
				w.Cut(a, b)
			}
		}
	}
}

func (w *World) notifyWriteStep(s Step, x Statement) {
	if w.Reached != nil {
		w.Reached(s, x)
	}
}

// handlePromotion checks that terms rise with every promotion.
func (w *World) handlePromotion(m *Member) {
	for o, t := range w.promotedTerms {
		if o != m && t == m.term {
			w.violate("two members were promoted in one term")
		}
	}
	w.promotedTerms[m] = m.term
	if w.Promoted != nil {
		w.Promoted(m)
	}
}

func (w *World) violate(s string) { w.Violations = append(w.Violations, s) }

// hostList is the platform's list of hosts.
func (w *World) hostList() []membership.Host {
	var o []membership.Host
	for _, d := range w.Daemons {
		if d.alive || w.now.Sub(d.endedAt) < hostListLag {
			o = append(o, d.host)
		}
	}
	return o
}

// hostListLag is how long a dead host stays listed.
const hostListLag = 10 * time.Second
