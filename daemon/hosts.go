package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/rollout"
)

// maxRegisterDelay is the longest pause before the first registration, so that the
// size of the fleet is known by then.
const maxRegisterDelay = 300 * time.Millisecond

// maxTTLGrowth is by how much the right time to live of a session must exceed
// its own before the host is registered anew.
const maxTTLGrowth = 2

// watchHosts follows the platform's list of hosts.
func (d *Daemon) watchHosts(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		r, err := d.platform.List(x, consul.HostPrefix, i, blockingQueryWait)
		if err != nil {
			d.config.Log.Debug("hosts not read", "error", err)
			b.wait(x, maxRetryDelay)
			continue
		}
		b.reset()
		l := d.decodeHosts(r.Pairs)
		d.mu.Lock()
		n := d.roster.Read(r.Index, l)
		d.mu.Unlock()
		if n {
			d.applyHostList()
		}
		if r.Index != i || len(l) == 0 {
			sleep(x, jitter(hostListDelay))
		}
		i = r.Index
	}
	return nil
}

// applyHostList takes a new roster into the view and tells the neighbours.
func (d *Daemon) applyHostList() {
	d.mu.Lock()
	l := d.roster.Hosts()
	d.mu.Unlock()
	d.handleMembership(membership.Listed{Hosts: l})
	d.notifyNeighbours()
}

func (d *Daemon) decodeHosts(l []consul.Pair) []membership.Host {
	var o []membership.Host
	for _, p := range l {
		var h membership.Host
		if err := json.Unmarshal(p.Value, &h); err != nil || h.ID == "" {
			d.config.Log.Warn("host entry can't be read", "key", p.Key, "error", err)
			continue
		}
		o = append(o, h)
	}
	return o
}

// registration is this host's place in the platform's list.
type registration struct {
	// sessionID is empty while the host isn't registered.
	sessionID string
	ttl       time.Duration
}

// keepRegistered keeps this host's entry in the platform's list.
func (d *Daemon) keepRegistered(x context.Context) error {
	var b backoff
	var e registration
	sleep(x, jitter(maxRegisterDelay))
	for x.Err() == nil {
		if err := d.renewRegistration(x, &e); err != nil {
			d.config.Log.Debug("host not registered", "error", err)
			b.wait(x, max(maxRetryDelay, rollout.RenewInterval(d.hostCount())/2))
			continue
		}
		b.reset()
		sleep(x, jitter(2*e.ttl/3))
	}
	if e.sessionID == "" {
		return nil
	}
	y, stop := context.WithTimeout(context.WithoutCancel(x), callTimeout)
	defer stop()
	return d.platform.DestroySession(y, e.sessionID)
}

// renewRegistration extends the entry, or makes it anew if it is lost, isn't listed, or
// lives too short for the fleet.
func (d *Daemon) renewRegistration(x context.Context, e *registration) error {
	ttl := rollout.SessionTTL(d.hostCount())
	if e.sessionID != "" && d.isListed() && ttl <= maxTTLGrowth*e.ttl {
		err := d.platform.RenewSession(x, e.sessionID)
		var s *consul.StatusError
		if errors.As(err, &s) && s.Status == http.StatusNotFound {
			e.sessionID = ""
		}
		return err
	}
	if e.sessionID != "" {
		if err := d.platform.DestroySession(x, e.sessionID); err != nil {
			return err
		}
		e.sessionID = ""
	}
	e.ttl = ttl
	return d.createRegistration(x, e)
}

// createRegistration makes a session and writes the entry. If the write's answer is lost,
// the session stays known, so that the next attempt can end it.
func (d *Daemon) createRegistration(x context.Context, e *registration) error {
	id, err := d.platform.CreateSession(x, e.ttl)
	if err != nil {
		return err
	}
	e.sessionID = id
	v, err := json.Marshal(d.config.Host)
	if err != nil {
		return Error.Wrap(err)
	}
	ok, err := d.platform.Acquire(x, consul.HostPrefix+d.config.Host.ID, v, id)
	if err == nil && !ok {
		err = Error.Wrap(&HostTakenError{ID: d.config.Host.ID})
	}
	return err
}

// hostCount returns the number of hosts known.
func (d *Daemon) hostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hostView.Known())
}

// isListed reports whether the platform lists this host.
func (d *Daemon) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hostView.Listed(d.config.Host.ID)
}

// HostTakenError reports a host entry that another session holds.
type HostTakenError struct {
	ID string
}

func (e *HostTakenError) Error() string {
	return "the entry of host " + e.ID + " is held by another session"
}
