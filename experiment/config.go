// Package experiment simulates a fleet under a seeded load in virtual time. It
// runs the daemon's admission, routing and budget code, which does no I/O, and
// reports how many requests of each rank were answered in time. Package model,
// by contrast, simulates a group under faults to check guarantees.
package experiment

import (
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Error is the class of all failures of this package.
var Error = errs.Class("experiment")

// Scenario names a load and the faults during it.
type Scenario string

// The scenarios.
const (
	// Baseline is the ordinary load.
	Baseline Scenario = "baseline"
	// Lag is the ordinary load with one replica of each group lagging by up
	// to longLag.
	Lag Scenario = "lag"
	// BackgroundFlood adds background work of Factor times the capacity.
	BackgroundFlood Scenario = "background-flood"
	// UrgentFlood adds urgent work of Factor times the capacity.
	UrgentFlood Scenario = "urgent-flood"
	// CallerFlood adds routine work of Factor times the capacity from one
	// caller.
	CallerFlood Scenario = "caller-flood"
	// PrimaryChange is UrgentFlood with an interval in which no group has a
	// primary.
	PrimaryChange Scenario = "primary-change"
	// LinkFlood is BackgroundFlood while the replicas in the other region lag
	// by longLag.
	LinkFlood Scenario = "link-flood"
	// OwnerDeath kills the owners of one failure domain's members; refused
	// callers retry after the given interval.
	OwnerDeath Scenario = "owner-death"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Baseline, Lag, BackgroundFlood, UrgentFlood, CallerFlood, PrimaryChange, LinkFlood, OwnerDeath}
}

// Fleet describes the hosts, backend servers and network of a user's fleet.
type Fleet struct {
	Name string
	// Groups is the number of database groups, each with one member in every
	// failure domain.
	Groups int
	// Slots and Connections are the limits of each backend server.
	Slots       int
	Connections int
	// Entries is the number of entry hosts, distributed over the failure
	// domains.
	Entries int
	// IntraRegionDelay is the one-way delay between failure domains of a
	// region, InterRegionDelay that between regions.
	IntraRegionDelay time.Duration
	InterRegionDelay time.Duration
	// LinkRate is the rate of the region link in bytes per second, each way.
	LinkRate float64
}

// domainCount is the number of failure domains; the last one forms a region of
// its own.
const domainCount = 3

// regionLinkRate is the rate of the link between regions in bytes per second
// (30 Mbit/s).
const regionLinkRate = 30e6 / 8

// Fleets returns the available fleets.
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

// NameError reports an unknown name.
type NameError struct {
	Kind  string
	Name  string
	Known []string
}

func (e *NameError) Error() string {
	return "unknown " + e.Kind + " " + e.Name + "; must be one of " + strings.Join(e.Known, ", ")
}

// Variant selects changes of the policy to compare with the product's policy,
// which is the zero value.
type Variant struct {
	// Split divides each backend server's connections among the entries, each
	// with its own queue.
	Split bool
	// Exponential selects members by an exponential cost of slots and link.
	Exponential bool
	// NoReserve lets background work use the last slot.
	NoReserve bool
	// NoShares gives the lower ranks no guaranteed share.
	NoShares bool
	// ArrivalOrder serves each caller's requests in order of arrival.
	ArrivalOrder bool
	// MixedDeadlines gives half of the requests a fifth of the time limit.
	MixedDeadlines bool
	// OneCaller treats all requests as one caller's.
	OneCaller bool
	// NoRetryBudget lets entries retry requests without a budget.
	NoRetryBudget bool
	// NoThrottle does not throttle requests to overloaded owners.
	NoThrottle bool
	// NoFlight does not limit the requests in flight to the other region.
	NoFlight bool
	// NoSpill does not send a read that an overloaded server refused to another
	// server.
	NoSpill bool
	// NoLinkBudget lets background reads use all of the region link.
	NoLinkBudget bool
}

// String lists the changes of the policy, or returns "product" if there are
// none.
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
	// Factor is the additional load of a flood scenario, as a multiple of the
	// capacity.
	Factor  float64
	Variant Variant
	Seed    uint64
	// WarmUp is the virtual time before the reported period.
	WarmUp time.Duration
	// Duration is the length of the reported period. Faults are injected after
	// a quarter of it.
	Duration time.Duration
}

// rankLoad is the load of one rank and its share of the slot time.
type rankLoad struct {
	write       bool
	serviceTime time.Duration
	// utilization is the fraction of the capacity that the ordinary load uses.
	utilization  float64
	requestBytes int
	replyBytes   int
	// timeLimit bounds the time from arrival to answer.
	timeLimit time.Duration
	// tolerantShare is the fraction of the requests that accept data of an age
	// up to tolerance.
	tolerantShare float64
	tolerance     time.Duration
	// share is the rank's guaranteed share of the slot time.
	share float64
}

func rankLoads() [bundle.RankCount]rankLoad {
	return [bundle.RankCount]rankLoad{
		{write: true, serviceTime: 4 * time.Millisecond, utilization: 0.25, requestBytes: 1000, replyBytes: 200, timeLimit: 5 * time.Second, share: 0.88},
		{serviceTime: 2 * time.Millisecond, utilization: 0.25, requestBytes: 200, replyBytes: 4000, timeLimit: 5 * time.Second, tolerantShare: 0.7, tolerance: 5 * time.Second, share: 0.1},
		{serviceTime: 40 * time.Millisecond, utilization: 0.1, requestBytes: 400, replyBytes: 60000, timeLimit: 20 * time.Second, tolerantShare: 1, tolerance: 30 * time.Second, share: 0.02},
	}
}
