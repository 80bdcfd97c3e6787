// Package membership decides which entry hosts are live and which of them owns
// a backend server. It does no I/O and reads no clock.
package membership

import (
	"time"
)

// Timing of corrections to the listed hosts.
const (
	// SuspectTime is how long a host that a link has lost is passed over; it
	// doubles with each further loss, up to SuspectMost.
	SuspectTime = 3 * time.Second
	SuspectMost = 24 * time.Second
	// LeaveTime is how long a leave notice holds against the lagging list, and
	// how long a host that is gone isn't believed by hearsay.
	LeaveTime = 2 * time.Minute
	// LingerTime is how long a host outlives its place on the list while it
	// answers or nothing speaks against it.
	LingerTime = 2 * time.Minute
	// MetTime is how long a host that was never listed is kept after it last
	// answered.
	MetTime = time.Hour
)

// Host is an entry host as the platform lists it.
type Host struct {
	// ID is unique among hosts; a restarted daemon has a new one.
	ID string `json:"id"`
	// PeerAddress is the IP address and port for other daemons.
	PeerAddress string `json:"peer-address"`
	// FailureDomain and Region tell where the host stands.
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	// Draining tells that the host drains.
	Draining bool `json:"leaving,omitempty"`
}

// Event is something that the view learns.
type Event interface{ event() }

// ListReceived replaces the hosts that the platform lists. An empty list is taken
// for a fault of the platform and changes nothing.
type ListReceived struct{ Hosts []Host }

// HostDiscovered adds a host, if it isn't known yet.
type HostDiscovered struct {
	Host Host
	// Direct tells that the host itself has called; else another daemon told of
	// it.
	Direct bool
}

// LinkFailed tells that a link to a host failed.
type LinkFailed struct{ ID string }

// HostAnswered tells that a host has answered.
type HostAnswered struct{ ID string }

// DrainAnnounced tells that a host has announced that it leaves.
type DrainAnnounced struct {
	ID string
	// Remaining is how long the notice still holds; zero means LeaveTime.
	Remaining time.Duration
}

func (ListReceived) event()   {}
func (HostDiscovered) event() {}
func (LinkFailed) event()     {}
func (HostAnswered) event()   {}
func (DrainAnnounced) event() {}

// suspicion is a host that a link has lost.
type suspicion struct {
	// until is the end of the time in which the host is passed over.
	until time.Time
	// span is the length of that time.
	span time.Duration
}

// met is a host that isn't listed.
type met struct {
	host Host
	// until is when the host is forgotten.
	until time.Time
	// listed tells that the host was on the list before.
	listed bool
}
