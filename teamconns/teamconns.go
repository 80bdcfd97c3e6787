// Package teamconns decides about the connections to one backend server that belong
// to teams: which idle connection a request uses, whether it waits for a connection of
// its team or opens one, and which idle connection is closed for it. It does no I/O
// and reads no clock.
//
// It answers the load of more teams than the member allows connections, with a few
// large teams and many small ones, where opening a connection takes one of the
// member's slots for longer than many statements do.
//
// A connection's worth is the rate at which its team is expected to need it, and the
// least worth one is closed. A request whose team has running connections waits for
// one of them, unless a further one is expected to save more waiting than its opening
// takes, or the team's requests have waited for that long already: waiting then costs at
// most as much again as the opening. Openings take at most half of the member's slots.
// Requests that wait give their place to others meanwhile.
package teamconns

import "time"

// Config holds the limits of a backend server.
type Config struct {
	// Connections is the maximum number of connections.
	Connections int
	// Slots is the number of statements and openings that the member runs at once.
	Slots int
}

// Event is an input of a Set.
type Event interface{ event() }

// Requested reports a request that needs a connection of a team. The team without a
// name may always open one while there is room, or an idle one of another team to
// close.
type Requested struct {
	// ID is unique among the requests.
	ID   uint64
	Team string
	// Values identifies the request's session values. An idle connection with the
	// same values is preferred.
	Values string
}

// Withdrawn reports that a request no longer waits.
type Withdrawn struct{ ID uint64 }

// Opened reports that a connection was opened and is in use.
type Opened struct {
	Conn uint64
	Took time.Duration
}

// OpeningFailed reports that a connection could not be opened; Full is set if the member
// has reached its limit.
type OpeningFailed struct {
	Conn uint64
	Full bool
}

// Kept reports that an open transaction keeps a connection.
type Kept struct{ Conn uint64 }

// Released reports that a connection is no longer in use; Closed is set if it was closed.
type Released struct {
	Conn   uint64
	Values string
	Closed bool
}

// Limited bounds the openings that may run at once, in addition to the bound that
// follows from the slots; zero removes the bound.
type Limited struct{ Openings int }

// Ticked reports that time has passed.
type Ticked struct{}

// IdleExpired closes the connections that have been idle since before a time: for those
// of teams TeamsBefore, for the others Before.
type IdleExpired struct{ Before, TeamsBefore time.Time }

func (Requested) event()     {}
func (Withdrawn) event()     {}
func (Opened) event()        {}
func (OpeningFailed) event() {}
func (Kept) event()          {}
func (Released) event()      {}
func (Limited) event()       {}
func (Ticked) event()        {}
func (IdleExpired) event()   {}

// Action is an output of a Set.
type Action interface{ action() }

// Use tells a request to use an idle connection.
type Use struct{ Request, Conn uint64 }

// Open tells a request to open a connection, which counts from now on, and to report
// Opened or OpeningFailed. After Opened the request uses it.
type Open struct {
	Request, Conn uint64
	Reason        OpenReason
}

// Yield tells a request to give its place at the member to others while it waits.
type Yield struct{ Request uint64 }

// Close closes an idle connection.
type Close struct {
	Conn   uint64
	Reason CloseReason
}

func (Use) action()   {}
func (Open) action()  {}
func (Yield) action() {}
func (Close) action() {}

// OpenReason is why a connection is opened.
type OpenReason string

// Possible values of OpenReason.
const (
	// OpenFirst means that no connection of the team could come back soon.
	OpenFirst OpenReason = "none-running"
	// OpenMore means that an opening is worth more than waiting for the team's running
	// connections.
	OpenMore OpenReason = "waited"
)

// CloseReason is why an idle connection is closed.
type CloseReason string

// Possible values of CloseReason.
const (
	// CloseForOther makes room for a connection of another team.
	CloseForOther CloseReason = "for-other-team"
	// CloseFull makes room at a member that has refused a connection.
	CloseFull CloseReason = "member-full"
	// CloseIdle means that the connection wasn't used for long.
	CloseIdle CloseReason = "idle"
)
