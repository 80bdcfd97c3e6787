package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Methods of control calls between daemons.
const (
	methodStatus          = "member.status"
	methodView            = "group.view"
	methodPosition        = "group.position"
	methodBundle          = "bundle.get"
	methodVersionExchange = "bundle.version"
	methodHostList        = "host.list"
	methodShutdownNotice  = "host.leave"
	methodCancel          = "session.cancel"
)

// memberParams are the parameters of a call about a member of a group.
type memberParams struct {
	Group  string `json:"group"`
	Member string `json:"member"`
}

// cancelParams is the cancel key of a session.
type cancelParams struct {
	PID    uint32 `json:"pid"`
	Secret uint32 `json:"secret"`
}

// hostParams are the parameters of a call about a host.
type hostParams struct {
	ID string `json:"id"`
}

// handleCall answers a control call from another daemon.
func (d *Daemon) handleCall(x context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodStatus:
		var p memberParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return d.localStatus(x, p)
	case methodView:
		var p memberParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return d.localView(x, p)
	case methodPosition:
		var p memberParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return d.localPosition(x, p)
	case methodGroupChanged:
		var p memberParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return true, d.handleGroupChanged(p)
	case methodBundle:
		return d.localEnvelope(), nil
	case methodVersionExchange:
		var p versionParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return d.handleVersionExchange(p), nil
	case methodCancel:
		var p cancelParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return d.callerServer.Cancel(p.PID, p.Secret), nil
	case methodHostList:
		var p versionParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		return d.hostListSince(p.HostListVersion), nil
	case methodShutdownNotice:
		var p hostParams
		if err := parseParams(r, &p); err != nil {
			return nil, err
		}
		d.handleShutdownNotice(p.ID)
		return true, nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
}

func parseParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// lookUpMember returns a group and its member from the bundle in force.
func (d *Daemon) lookUpMember(p memberParams) (*bundle.Group, *bundle.Member, error) {
	g, m, ok := d.bundle().Member(p.Member)
	if !ok || g.Name != p.Group {
		return nil, nil, Error.Wrap(&NotInBundleError{Name: p.Group + "/" + p.Member})
	}
	return g, m, nil
}

// localStatus queries the status of a member. It doesn't check that this daemon
// owns the member, as the calling daemon's view may differ.
func (d *Daemon) localStatus(x context.Context, p memberParams) (failover.Status, error) {
	g, m, err := d.lookUpMember(p)
	if err != nil {
		return failover.Status{}, err
	}
	return d.controlConnection(g, m).Status(x)
}

// localView returns this daemon's view of a group, and starts watching the
// group if needed.
func (d *Daemon) localView(x context.Context, p memberParams) (failover.View, error) {
	if _, _, err := d.lookUpMember(p); err != nil {
		return failover.View{}, err
	}
	w := d.watchGroup(p.Group)
	if w == nil {
		return failover.View{}, Error.Wrap(&NotInBundleError{Name: p.Group})
	}
	x, stop := context.WithTimeout(x, viewTimeout/2)
	defer stop()
	w.AwaitCondition(x, func(g *failover.Group, now time.Time) bool { return g.View(now).Confirmed })
	return w.View(), nil
}

// localPosition returns the position of a primary, provided that a majority of
// its group has confirmed the primary since the call arrived.
func (d *Daemon) localPosition(x context.Context, p memberParams) (logpos.Position, error) {
	g, m, err := d.lookUpMember(p)
	if err != nil {
		return logpos.Position{}, err
	}
	w := d.watchGroup(p.Group)
	if w == nil {
		return logpos.Position{}, Error.Wrap(&NotInBundleError{Name: p.Group})
	}
	b := time.Now()
	s, err := d.controlConnection(g, m).Status(x)
	if err != nil {
		return logpos.Position{}, err
	}
	x, stop := context.WithTimeout(x, viewTimeout/2)
	defer stop()
	if s.Role != failover.Primary || !w.AwaitReports(x, func(g *failover.Group, _ time.Time) bool { return g.ConfirmedSince(s.Term, b) }) {
		return logpos.Position{}, Error.Wrap(&NotPrimaryError{Member: p.Member})
	}
	return s.Position, nil
}

// callOwner calls a method of the daemon that owns a member. It makes no call
// and reports false if this daemon is the owner or there is none.
func (d *Daemon) callOwner(x context.Context, g *bundle.Group, m *bundle.Member, method string, result any) (bool, error) {
	h, ok := d.ownerOf(m)
	if !ok || h.ID == d.config.Host.ID {
		return false, nil
	}
	x, stop := context.WithTimeout(x, viewTimeout)
	defer stop()
	return true, d.node.Call(x, h, method, memberParams{Group: g.Name, Member: m.Name}, result)
}

// queryStatus queries the status of a member through its owner, or directly if
// that fails.
func (d *Daemon) queryStatus(x context.Context, g *bundle.Group, m *bundle.Member) (failover.Status, error) {
	var s failover.Status
	if called, err := d.callOwner(x, g, m, methodStatus, &s); called && err == nil {
		return s, nil
	}
	return d.controlConnection(g, m).Status(x)
}

// queryView queries the view of a group from the owner of a member.
func (d *Daemon) queryView(x context.Context, g *bundle.Group, m *bundle.Member) (failover.View, error) {
	var v failover.View
	if called, err := d.callOwner(x, g, m, methodView, &v); called {
		return v, err
	}
	return d.localView(x, memberParams{Group: g.Name, Member: m.Name})
}

// queryPosition queries the position of a primary from its owner.
func (d *Daemon) queryPosition(x context.Context, g *bundle.Group, m *bundle.Member) (logpos.Position, error) {
	var p logpos.Position
	if called, err := d.callOwner(x, g, m, methodPosition, &p); called {
		return p, err
	}
	return d.localPosition(x, memberParams{Group: g.Name, Member: m.Name})
}

// controlConnection returns the control connection to a member, which is opened
// on its first use.
func (d *Daemon) controlConnection(g *bundle.Group, m *bundle.Member) *backend.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := m.Name + "@" + m.Address
	c, ok := d.controlConnections[k]
	if !ok {
		c = backend.NewControl(backend.Config{Address: m.Address, User: d.config.BackendUser, Password: d.config.BackendPassword, Database: g.Name})
		d.controlConnections[k] = c
	}
	return c
}

// NotInBundleError reports a group or member that is not in the bundle in force.
type NotInBundleError struct {
	Name string
}

func (e *NotInBundleError) Error() string { return "unknown in the bundle in force: " + e.Name }

// NotPrimaryError reports a member that isn't the confirmed primary.
type NotPrimaryError struct {
	Member string
}

func (e *NotPrimaryError) Error() string { return e.Member + " is not the confirmed primary" }

// forwardCancel forwards a cancel request to the other hosts with the given
// tag.
func (d *Daemon) forwardCancel(x context.Context, tag uint16, pid, secret uint32) {
	d.mu.Lock()
	l := d.hostView.Live(time.Now())
	d.mu.Unlock()
	for _, h := range l {
		if h.ID == d.config.Host.ID || caller.HostTag(h.ID) != tag {
			continue
		}
		y, stop := context.WithTimeout(x, callTimeout)
		err := d.node.Call(y, h, methodCancel, cancelParams{PID: pid, Secret: secret}, nil)
		stop()
		d.config.Log.Debug("cancel request forwarded", "host", h.ID, "error", err)
	}
}
