package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// isSuspect reports whether a host is avoided because it didn't answer; f.mu is
// held.
func (f *Daemon) isSuspect(id string) bool {
	return f.view.IsSuspect(id, time.Now())
}

// livePeers returns the other live hosts; f.mu is held.
func (f *Daemon) livePeers() []membership.Host {
	return slices.DeleteFunc(f.view.Live(time.Now()), func(h membership.Host) bool { return h.ID == f.config.Self.ID })
}

// randomPeers returns up to hedgePeers other live hosts in random order.
func (f *Daemon) randomPeers() []membership.Host {
	f.mu.Lock()
	l := f.livePeers()
	f.mu.Unlock()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), hedgePeers)]
}

// isolated reports whether this host is cut off from all others that the
// platform lists; f.mu is held.
func (f *Daemon) isolated() bool { return f.view.Isolated(time.Now()) }
