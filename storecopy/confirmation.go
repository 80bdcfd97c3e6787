package storecopy

import "time"

const (
	// confirmingHosts is the number of other daemons whose knowledge confirms a
	// configuration. One may itself be cut off from what the others know.
	confirmingHosts = 3
	// confirmationTime is how long a daemon waits for them; a daemon with fewer
	// neighbors hears from all of them within this time.
	confirmationTime = 2500 * time.Millisecond
)

// Confirmation decides when a daemon that has started may rely on its configuration
// for who is served: a key that was withdrawn must not work again because the daemon
// started with an older copy. It is confirmed by a copy of the store that is kept up to
// date, unless the store itself has come back from an older copy; otherwise by the
// daemons that are reached, whose newer configuration would have been taken over. A
// daemon that reaches neither isn't confirmed. It is not safe for concurrent use.
type Confirmation struct {
	confirmed bool
	// hosts holds the other daemons that were heard since a configuration is known,
	// and since is when the first of them was.
	hosts map[string]bool
	since time.Time
}

// StoreRead takes note that the daemon's copy of the store was age old, in an era for
// which restored tells whether the store had come back from an older copy. No other
// daemon runs if alone is set.
func (c *Confirmation) StoreRead(age time.Duration, restored, alone bool) {
	c.confirmed = c.confirmed || IsCurrent(age) && (!restored || alone)
}

// Exchanged takes note that all that another daemon knows was taken over.
func (c *Confirmation) Exchanged(host string, now time.Time) {
	if c.hosts == nil {
		c.hosts, c.since = map[string]bool{}, now
	}
	c.hosts[host] = true
}

// Confirmed reports whether the daemon may rely on its configuration.
func (c *Confirmation) Confirmed(now time.Time) bool {
	c.confirmed = c.confirmed || len(c.hosts) >= confirmingHosts || len(c.hosts) > 0 && now.Sub(c.since) >= confirmationTime
	return c.confirmed
}
