package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
)

// registerDelay is the longest pause before the first registration, so that the
// size of the fleet is known by then.
const registerDelay = 300 * time.Millisecond

// sessionGrowth is by how much the right time to live of a session must exceed
// its own before the host is registered anew.
const sessionGrowth = 2

// watchHosts follows the platform's list of hosts.
func (d *Daemon) watchHosts(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		r, err := d.platform.List(x, consul.HostPrefix, i, watchWait)
		if err != nil {
			d.c.Log.Debug("hosts not read", "error", err)
			b.wait(x, retryMost)
			continue
		}
		b.reset()
		l := d.hosts(r.Pairs)
		d.mu.Lock()
		n := d.roster.UpdateFromPlatform(r.Index, l)
		d.mu.Unlock()
		if n {
			d.listHosts()
		}
		if r.Index != i || len(l) == 0 {
			pause(x, jitter(listPause))
		}
		i = r.Index
	}
	return nil
}

// listHosts takes a new roster into the view and tells the neighbours.
func (d *Daemon) listHosts() {
	d.mu.Lock()
	l := d.roster.Hosts()
	d.mu.Unlock()
	d.noteMember(membership.ListReceived{Hosts: l})
	d.tellSoon()
}

func (d *Daemon) hosts(l []consul.Pair) []membership.Host {
	var o []membership.Host
	for _, p := range l {
		var h membership.Host
		if err := json.Unmarshal(p.Value, &h); err != nil || h.ID == "" {
			d.c.Log.Warn("host entry can't be read", "key", p.Key, "error", err)
			continue
		}
		o = append(o, h)
	}
	return o
}

// entry is this host's place in the platform's list.
type entry struct {
	// session is empty while the host isn't registered.
	session string
	ttl     time.Duration
}

// register keeps this host's entry in the platform's list.
func (d *Daemon) register(x context.Context) error {
	var b backoff
	var e entry
	pause(x, jitter(registerDelay))
	for x.Err() == nil {
		if err := d.renew(x, &e); err != nil {
			d.c.Log.Debug("host not registered", "error", err)
			b.wait(x, max(retryMost, gossip.RenewInterval(d.fleet())/2))
			continue
		}
		b.reset()
		pause(x, jitter(2*e.ttl/3))
	}
	if e.session == "" {
		return nil
	}
	y, stop := context.WithTimeout(context.WithoutCancel(x), callTimeout)
	defer stop()
	return d.platform.DestroySession(y, e.session)
}

// renew extends the entry, or makes it anew if it is lost, isn't listed, or
// lives too short for the fleet.
func (d *Daemon) renew(x context.Context, e *entry) error {
	ttl := gossip.SessionTTL(d.fleet())
	if e.session != "" && d.listed() && ttl <= sessionGrowth*e.ttl {
		err := d.platform.RenewSession(x, e.session)
		var s *consul.StatusError
		if errors.As(err, &s) && s.Status == http.StatusNotFound {
			e.session = ""
		}
		return err
	}
	if e.session != "" {
		if err := d.platform.DestroySession(x, e.session); err != nil {
			return err
		}
		e.session = ""
	}
	e.ttl = ttl
	return d.enlist(x, e)
}

// enlist makes a session and writes the entry. If the write's answer is lost,
// the session stays known, so that the next attempt can end it.
func (d *Daemon) enlist(x context.Context, e *entry) error {
	id, err := d.platform.CreateSession(x, e.ttl)
	if err != nil {
		return err
	}
	e.session = id
	v, err := json.Marshal(d.c.Host)
	if err != nil {
		return Error.Wrap(err)
	}
	ok, err := d.platform.Acquire(x, consul.HostPrefix+d.c.Host.ID, v, id)
	if err == nil && !ok {
		err = Error.Wrap(&TakenError{ID: d.c.Host.ID})
	}
	return err
}

// fleet returns the number of hosts known.
func (d *Daemon) fleet() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.view.Known())
}

// listed reports whether the platform lists this host.
func (d *Daemon) listed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.IsListed(d.c.Host.ID)
}

// TakenError reports a host entry that another session holds.
type TakenError struct {
	ID string
}

func (e *TakenError) Error() string {
	return "the entry of host " + e.ID + " is held by another session"
}
