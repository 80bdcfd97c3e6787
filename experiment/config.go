// Package experiment drives the pure cores of admission and routing with a
// seeded load in virtual time, and reports what each rank of work received.
package experiment

import (
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Error is the class of all failures of this package.
var Error = errs.Class("experiment")

// Scenario is a load with its faults.
type Scenario string

// The scenarios.
const (
	// Baseline is the ordinary load.
	Baseline Scenario = "baseline"
	// Lag is the ordinary load with one replica of each group far behind.
	Lag Scenario = "lag"
	// BackgroundFlood adds background work of Factor times the capacity.
	BackgroundFlood Scenario = "background-flood"
	// UrgentFlood adds urgent work of Factor times the capacity.
	UrgentFlood Scenario = "urgent-flood"
	// CallerFlood lets one caller send routine work of Factor times the
	// capacity.
	CallerFlood Scenario = "caller-flood"
	// PrimaryChange adds a gap without primaries to an urgent flood.
	PrimaryChange Scenario = "primary-change"
	// LinkFlood is BackgroundFlood with the far region's replicas far behind.
	LinkFlood Scenario = "link-flood"
	// OwnerDeath ends an owner; refused callers come back when told.
	OwnerDeath Scenario = "owner-death"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Baseline, Lag, BackgroundFlood, UrgentFlood, CallerFlood, PrimaryChange, LinkFlood, OwnerDeath}
}

// Fleet is the size of a user's fleet.
type Fleet struct {
	Name string
	// Groups is the number of database groups, each with one member in every
	// failure domain.
	Groups int
	// Slots and Connections are those of each backend server.
	Slots       int
	Connections int
	// Entries is the number of entry hosts, spread over the failure domains.
	Entries int
	// IntraRegionDelay and Far are the one-way delays between failure domains of a region
	// and between regions.
	IntraRegionDelay time.Duration
	InterRegionDelay time.Duration
	// LinkRate is the rate of the region link in bytes a second, each way.
	LinkRate float64
}

// domainCount is the number of failure domains; the last one is a region of its
// own.
const domainCount = 3

// regionLinkRate is the rate of the link between regions in bytes a second.
const regionLinkRate = 30e6 / 8

// Fleets returns the fleets that can be chosen.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "lankaglow", Groups: 3, Slots: 3, Connections: 20, Entries: 9, IntraRegionDelay: 1500 * time.Microsecond, InterRegionDelay: 30 * time.Millisecond, LinkRate: regionLinkRate},
		{Name: "muckspread", Groups: 3, Slots: 5, Connections: 60, Entries: 9, IntraRegionDelay: time.Millisecond, InterRegionDelay: 30 * time.Millisecond, LinkRate: regionLinkRate},
	}
}

// FindFleet returns the fleet with the given name.
func FindFleet(name string) (Fleet, error) {
	var l []string
	for _, f := range Fleets() {
		if f.Name == name {
			return f, nil
		}
		l = append(l, f.Name)
	}
	return Fleet{}, Error.Wrap(&NameError{Kind: "fleet", Name: name, Known: l})
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, error) {
	var l []string
	for _, s := range Scenarios() {
		if string(s) == name {
			return s, nil
		}
		l = append(l, string(s))
	}
	return "", Error.Wrap(&NameError{Kind: "scenario", Name: name, Known: l})
}

// NameError reports a name that isn't known.
type NameError struct {
	Kind  string
	Name  string
	Known []string
}

func (e *NameError) Error() string {
	return "unknown " + e.Kind + " " + e.Name + "; known are " + strings.Join(e.Known, ", ")
}

// Variant holds the policies that are compared; the zero value is the
// product's.
type Variant struct {
	// Split spreads each backend server's connections over the entries, each
	// with a queue of its own.
	Split bool
	// Exponential chooses members by an exponential cost of slots and link.
	Exponential bool
	// NoReserve lets background work take the last slot.
	NoReserve bool
	// NoShares takes the lower ranks' shares away.
	NoShares bool
	// ArrivalOrder serves each caller's requests in order of arrival.
	ArrivalOrder bool
	// MixedDeadlines gives half of the requests a fifth of the limit.
	MixedDeadlines bool
	// OneCaller makes all requests look like one caller's.
	OneCaller bool
	// NoRetryBudget lets entries repeat requests without a budget.
	NoRetryBudget bool
	// NoThrottle sends to overloaded owners whatever comes.
	NoThrottle bool
	// NoFlight doesn't bound unanswered requests to the other region.
	NoFlight bool
	// NoSpill keeps reads that a server refuses for load from other servers.
	NoSpill bool
	// NoLinkBudget lets background reads use all of the region link.
	NoLinkBudget bool
}

// String names the policies that differ from the product's.
func (v Variant) String() string {
	var l []string
	for _, x := range []struct {
		on   bool
		name string
	}{
		{v.Split, "split"},
		{v.Exponential, "exponential"},
		{v.NoReserve, "no-reserve"},
		{v.NoShares, "no-shares"},
		{v.ArrivalOrder, "arrival-order"},
		{v.MixedDeadlines, "mixed-deadlines"},
		{v.OneCaller, "one-caller"},
		{v.NoRetryBudget, "no-retry-budget"},
		{v.NoThrottle, "no-throttle"},
		{v.NoFlight, "no-flight"},
		{v.NoSpill, "no-spill"},
		{v.NoLinkBudget, "no-link-budget"},
	} {
		if x.on {
			l = append(l, x.name)
		}
	}
	if len(l) == 0 {
		return "product"
	}
	return strings.Join(l, " ")
}

// Config holds an experiment's settings.
type Config struct {
	Fleet    Fleet
	Scenario Scenario
	// Factor is the size of a flood in units of the capacity.
	Factor  float64
	Variant Variant
	Seed    uint64
	// WarmUp is the virtual time before what is reported; faults happen midway
	// through Duration, the virtual time of the report.
	WarmUp   time.Duration
	Duration time.Duration
}

// class is the load of one rank.
type class struct {
	write       bool
	serviceTime time.Duration
	// utilization is the share of the capacity that the ordinary load takes.
	utilization float64
	// requestBytes and reply are sizes in bytes.
	requestBytes int
	replyBytes   int
	// timeLimit is the time from arrival to answer.
	timeLimit time.Duration
	// tolerantShare is the share of requests that accept the given age.
	tolerantShare float64
	tolerance     time.Duration
	share         float64
}

func classes() [bundle.RankCount]class {
	return [bundle.RankCount]class{
		{write: true, serviceTime: 4 * time.Millisecond, utilization: 0.25, requestBytes: 1000, replyBytes: 200, timeLimit: 5 * time.Second, share: 0.88},
		{serviceTime: 2 * time.Millisecond, utilization: 0.25, requestBytes: 200, replyBytes: 4000, timeLimit: 5 * time.Second, tolerantShare: 0.7, tolerance: 5 * time.Second, share: 0.1},
		{serviceTime: 40 * time.Millisecond, utilization: 0.1, requestBytes: 400, replyBytes: 60000, timeLimit: 20 * time.Second, tolerantShare: 1, tolerance: 30 * time.Second, share: 0.02},
	}
}
