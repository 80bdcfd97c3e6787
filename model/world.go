package model

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Options switch mechanisms off, to show that the checks see it.
type Options struct {
	// AckBeforeMajority acknowledges writes without waiting for a majority.
	AckBeforeMajority bool
	// NoFence lets members take part in any term.
	NoFence bool
	// RetryInDoubt sends writes of unknown outcome again.
	RetryInDoubt bool
	// NoKeyLookup runs keyed writes without looking for their key.
	NoKeyLookup bool
	// KeepSessionOnResolve looks a key up without keeping the write from running
	// later.
	KeepSessionOnResolve bool
	// DisconnectAsNotRun reports a write whose connection broke as not run.
	DisconnectAsNotRun bool
	// ResolveBeforeMajority settles a write from a new primary whose term no majority
	// has reached.
	ResolveBeforeMajority bool
	// NoFloor drops the floor of reads.
	NoFloor bool
	// UnconfirmedFloor takes a primary's position for a floor without asking a majority
	// whether it is still the primary.
	UnconfirmedFloor bool
	// UnmatchedAnswers gives an answer to the oldest request of its connection.
	UnmatchedAnswers bool
	// AcceptLowerVersion lets any bundle replace the one held.
	AcceptLowerVersion bool
	// PushWithoutCAS writes bundles without compare-and-swap.
	PushWithoutCAS bool
	// NoReadBack takes a push without an answer for failed.
	NoReadBack bool
	// NoFailover keeps daemons from replacing a primary.
	NoFailover bool
	// On the users' platform: LateValidity counts a holder's time from the store's
	// answer instead of the question.
	LateValidity bool
	// NoPreviousHolders forgets the earlier holders when a group is taken over.
	NoPreviousHolders bool
	// NoIntent promotes without writing the intent into the record.
	NoIntent bool
	// NoPositionCheck doesn't compare what a primary reports with what it reported
	// before.
	NoPositionCheck bool
	// LateAnswers believes a primary's answers after the holder's time.
	LateAnswers bool
}

// Config holds what a world is made of.
type Config struct {
	// Seed makes the random numbers; equal worlds behave equally.
	Seed uint64
	// FiveMembers gives the group five members, two of them in each failure domain of
	// the first region, instead of three.
	FiveMembers bool
	Options     Options
}

// WriteStep is a step of a write.
type WriteStep string

// The steps of a write, in order.
const (
	Classified    WriteStep = "classified"
	Sent          WriteStep = "sent-to-owner"
	Queued        WriteStep = "queued"
	Connected     WriteStep = "connection-taken"
	SentToPrimary WriteStep = "sent-to-primary"
	Committed     WriteStep = "committed"
	Waiting       WriteStep = "waiting-for-majority"
	Answering     WriteStep = "answering"
)

// WriteSteps returns all steps of a write.
func WriteSteps() []WriteStep {
	return []WriteStep{Classified, Sent, Queued, Connected, SentToPrimary, Committed, Waiting, Answering}
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
	// OnWriteStep is told when a write reaches a step; nil if nobody asks.
	OnWriteStep func(WriteStep, Statement)
	// OnPromotion is told of a new primary; nil if nobody asks.
	OnPromotion func(*Member)
	// Violations are broken promises that were seen while they happened.
	Violations []string
	// Writes are all writes of callers that have ended.
	Writes []Write
	// Reads counts the reads that were answered.
	Reads int

	r       *rand.Rand
	nodes   map[string]*Node
	cuts    map[[2]string]bool
	callers *Node
	hosts   int
	next    int
	last    map[*Member]uint64
}

// Regions and failure domains of every world.
var places = []Place{{"west", "west-1"}, {"west", "west-2"}, {"north", "north-1"}}

// Sizes of every world.
const (
	daemonCount  = 5
	sessionCount = 5
)

// New makes a world in which nothing has happened yet.
func New(c Config) *World {
	w := &World{
		Clock: Clock{now: epoch}, Options: c.Options, r: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, last: map[*Member]uint64{},
	}
	w.callers = w.node("callers", Place{})
	w.newPlatform(places[0])
	w.newMember("member-0", places[0], "")
	w.newMember("member-1", places[1], "member-0")
	w.newMember("member-2", places[2], "member-0")
	if c.FiveMembers {
		w.newMember("member-3", places[0], "member-0")
		w.newMember("member-4", places[1], "member-0")
	}
	for i := range daemonCount {
		w.AddDaemon(places[i%len(places)])
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

// CutDomain stops all messages between the nodes of one failure domain and the
// rest, but for callers.
func (w *World) CutDomain(domain string) {
	for _, a := range w.sorted() {
		for _, b := range w.sorted() {
			if a.Location.Domain == domain && b.Location.Domain != domain && b != w.callers {
				w.Cut(a, b)
			}
		}
	}
}

func (w *World) reach(s WriteStep, x Statement) {
	if w.OnWriteStep != nil {
		w.OnWriteStep(s, x)
	}
}

// promoted checks that terms rise with every promotion.
func (w *World) promoted(m *Member) {
	for o, t := range w.last {
		if o != m && t == m.term {
			w.violate("two members were promoted in one term")
		}
	}
	w.last[m] = m.term
	if w.OnPromotion != nil {
		w.OnPromotion(m)
	}
}

func (w *World) violate(s string) { w.Violations = append(w.Violations, s) }

// hostList is the platform's list of hosts.
func (w *World) hostList() []membership.Host {
	var o []membership.Host
	for _, d := range w.Daemons {
		if d.alive || w.now.Sub(d.ended) < listLag {
			o = append(o, d.host)
		}
	}
	return o
}

// listLag is how long a dead host stays listed.
const listLag = 10 * time.Second
