// Package membership decides which entry hosts are live and which of them owns
// a backend server. It does no I/O and reads no clock.
package membership

import (
	"time"
)

// Timing of corrections to the listed hosts.
const (
	// SuspectTime is how long a host that a link has lost is passed over; it
	// doubles with each further loss, up to MaxSuspectTime.
	SuspectTime    = 3 * time.Second
	MaxSuspectTime = 24 * time.Second
	// DrainNoticeTime is how long a leave notice holds against the lagging list, and
	// how long a host that is gone isn't believed by hearsay.
	DrainNoticeTime = 2 * time.Minute
	// DelistedTime is how long a host outlives its place on the list while it
	// answers or nothing speaks against it.
	DelistedTime = 2 * time.Minute
	// NeverListedTime is how long a host that was never listed is kept after it last
	// answered.
	NeverListedTime = time.Hour
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
	// Leaving tells that the host drains.
	Leaving bool `json:"leaving,omitempty"`
}

// Event is something that the view learns.
type Event interface{ event() }

// Listed replaces the hosts that the platform lists. An empty list is taken
// for a fault of the platform and changes nothing.
type Listed struct{ Hosts []Host }

// Met adds a host, if it isn't known yet.
type Met struct {
	Host Host
	// Direct tells that the host itself has called; else another daemon told of
	// it.
	Direct bool
}

// Lost tells that a link to a host failed.
type Lost struct{ ID string }

// Seen tells that a host has answered.
type Seen struct{ ID string }

// Left tells that a host has announced that it leaves.
type Left struct {
	ID string
	// Remaining is how long the notice still holds; zero means DrainNoticeTime.
	Remaining time.Duration
}

func (Listed) event() {}
func (Met) event()    {}
func (Lost) event()   {}
func (Seen) event()   {}
func (Left) event()   {}

// suspectState is a host that a link has lost.
type suspectState struct {
	// expiresAt is the end of the time in which the host is passed over.
	expiresAt time.Time
	// duration is the length of that time.
	duration time.Duration
}

// unlistedHost is a host that isn't listed.
type unlistedHost struct {
	host Host
	// expiresAt is when the host is forgotten.
	expiresAt time.Time
	// wasListed tells that the host was on the list before.
	wasListed bool
}
