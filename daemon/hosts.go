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

// maxRegisterDelay is the maximum delay before the first registration, so that
// the number of hosts is known by then.
const maxRegisterDelay = 300 * time.Millisecond

// maxTTLGrowth is the factor by which the time to live for the current number
// of hosts may exceed that of the session. Beyond it the host registers again
// with a new session.
const maxTTLGrowth = 2

// watchHosts watches the platform's list of hosts.
func (d *Daemon) watchHosts(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		t := time.Now()
		r, err := d.platform.List(x, consul.HostPrefix, i, blockingQueryWait)
		if x.Err() != nil {
			break
		}
		d.observeQuery("hosts", t, err, &b)
		if err != nil {
			b.wait(x, maxRetryDelay)
			continue
		}
		b.reset()
		l := d.decodeHosts(r.Pairs)
		d.mu.Lock()
		n := d.hostList.UpdateFromPlatform(r.Index, l)
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

// applyHostList applies a new host list to the view of the hosts and notifies the
// neighbors.
func (d *Daemon) applyHostList() {
	d.mu.Lock()
	l, was := d.hostList.Hosts(), d.hostView.IsListed(d.config.Host.ID)
	d.mu.Unlock()
	d.handleMembership(membership.ListReceived{Hosts: l})
	if was && !d.isListed() {
		d.config.Log.Warn("this host is no longer listed", "hosts", len(l))
		select {
		case d.delisted <- struct{}{}:
		default:
		}
	}
	d.notifyNeighbors()
}

// decodeHosts decodes the entries of the platform's host list and skips invalid
// ones.
func (d *Daemon) decodeHosts(l []consul.Pair) []membership.Host {
	var o []membership.Host
	for _, p := range l {
		var h membership.Host
		if err := json.Unmarshal(p.Value, &h); err != nil || h.ID == "" {
			d.config.Log.Warn("invalid host entry", "key", p.Key, "error", err)
			continue
		}
		o = append(o, h)
	}
	return o
}

// registration is the state of this host's entry in the platform's list.
type registration struct {
	// sessionID is empty while the host isn't registered.
	sessionID string
	ttl       time.Duration
}

// keepRegistered keeps this host's entry in the platform's list, and ends the
// entry's session when the daemon stops.
func (d *Daemon) keepRegistered(x context.Context) error {
	var b backoff
	var e registration
	sleep(x, jitter(maxRegisterDelay))
	for x.Err() == nil {
		if err := d.renewRegistration(x, &e); err != nil {
			d.config.Log.Debug("host registration failed", "error", err)
			b.wait(x, max(maxRetryDelay, gossip.RenewInterval(d.hostCount())/2))
			continue
		}
		b.reset()
		d.awaitRenewal(x, e.ttl)
	}
	if e.sessionID == "" {
		return nil
	}
	y, stop := context.WithTimeout(context.WithoutCancel(x), callTimeout)
	defer stop()
	return d.platform.DestroySession(y, e.sessionID)
}

// awaitRenewal waits until the registration is to be renewed. That is soon after the
// platform's list has lost this host, as when its store came back from an older copy.
func (d *Daemon) awaitRenewal(x context.Context, ttl time.Duration) {
	t := time.NewTimer(jitter(2 * ttl / 3))
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	case <-d.delisted:
		sleep(x, jitter(relistDelay))
	}
}

// relistDelay is the maximum delay until a host that the list has lost registers
// again: several are lost at once.
const relistDelay = 2 * time.Second

// renewRegistration extends the entry. It creates a new one if the entry is
// lost, isn't listed, or has too short a time to live for the number of hosts.
func (d *Daemon) renewRegistration(x context.Context, e *registration) error {
	ttl := gossip.SessionTTL(d.hostCount())
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

// createRegistration creates a session and writes the entry. If the response to
// the write is lost, the session ID is kept, so that the next attempt can end
// the session.
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

// hostCount returns the number of known hosts.
func (d *Daemon) hostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hostView.Hosts())
}

// isListed reports whether the platform lists this host.
func (d *Daemon) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hostView.IsListed(d.config.Host.ID)
}

// HostTakenError reports that another session has registered the ID of this
// host.
type HostTakenError struct {
	ID string
}

func (e *HostTakenError) Error() string {
	return "host " + e.ID + " is already registered by another session"
}
