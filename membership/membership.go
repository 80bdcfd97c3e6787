// Package membership decides which hosts of the fleet are live, and which of
// them owns a backend server, from the platform's host list and the daemon's
// own observations. It does no I/O and reads no clock.
//
// The members of a database group are backend servers, not hosts. Package gossip
// disseminates the host list.
package membership

import (
	"time"
)

// Timing of the corrections that a daemon makes to the platform's host list.
const (
	// SuspectTime is how long a host is suspected, and owns nothing, after a
	// link to it has failed. It doubles with each further failure, up to
	// MaxSuspectTime.
	SuspectTime    = 3 * time.Second
	MaxSuspectTime = 24 * time.Second
	// DrainNoticeTime is how long a drain notice overrides the list, which is
	// updated with a delay, and how long indirect reports of an evicted host
	// are ignored.
	DrainNoticeTime = 2 * time.Minute
	// DelistedTime is how long a live host is kept after its removal from the list
	// or its last answer, unless a link to it fails.
	DelistedTime = 2 * time.Minute
	// NeverListedTime is how long a host that was never listed is kept after its
	// last answer.
	NeverListedTime = time.Hour
)

// Host is a host as the platform lists it.
type Host struct {
	// ID is unique among hosts; a restarted daemon has a new one.
	ID string `json:"id"`
	// PeerAddress is the IP address and port at which other daemons reach it.
	PeerAddress string `json:"peer-address"`
	// FailureDomain and Region are the location of the host.
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	// Weight is the host's share of the backend servers of its failure domain
	// relative to other hosts, its processor capacity for example; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Draining is set while the host drains.
	Draining bool `json:"leaving,omitempty"`
}

// Event is an input that may change the view.
type Event interface{ event() }

// ListReceived replaces the platform's host list. An empty list is treated as a
// fault of the platform and changes nothing.
type ListReceived struct{ Hosts []Host }

// HostDiscovered reports a host, which is added to the view if it isn't in it.
type HostDiscovered struct {
	Host Host
	// Direct is set if the host itself has called this daemon. Otherwise the
	// report is indirect: it comes from another daemon.
	Direct bool
}

// LinkFailed reports that a link to a host has failed.
type LinkFailed struct {
	ID string
	// Ended is set if the host's machine showed that the daemon is gone: it
	// refused the connection, or another daemon answered there. Otherwise the
	// host was silent, and the fault may lie with the network or this host.
	Ended bool
}

// HostAnswered reports that a host has answered.
type HostAnswered struct{ ID string }

// DrainAnnounced reports that a host has announced that it drains.
type DrainAnnounced struct {
	ID string
	// Remaining is how long the notice stays in force; zero means DrainNoticeTime.
	Remaining time.Duration
}

func (ListReceived) event()   {}
func (HostDiscovered) event() {}
func (LinkFailed) event()     {}
func (HostAnswered) event()   {}
func (DrainAnnounced) event() {}

// suspicion is the state of a host that hasn't answered since a link to it
// failed.
type suspicion struct {
	// expiresAt is when the host is no longer suspected.
	expiresAt time.Time
	// duration is how long the host is suspected after its last failure.
	duration time.Duration
}

// unlistedHost is a host that isn't on the platform's list.
type unlistedHost struct {
	host Host
	// expiresAt is when the host is removed from the view.
	expiresAt time.Time
	// wasListed is set if the host was on an earlier list.
	wasListed bool
}
