package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// busyTime is how much longer something may take on a busy machine.
const busyTime = 5 * time.Second

// pair is two nodes; a reaches b through a relay.
type pair struct {
	a, b *Node
	// toB is b's host with the relay's address.
	toB   membership.Host
	relay *relay.Relay
	// failed counts a's failed links, handled b's calls.
	failed, handled atomic.Int32
	// hold delays the replies of b while it is open.
	hold chan struct{}
}

func newPair(t *testing.T) *pair {
	g := gomega.NewWithT(t)
	p := &pair{hold: make(chan struct{})}
	newNode := func(id string) *Node {
		n, err := New(Config{
			Listen: "127.0.0.1:0", Secret: "s", Self: membership.Host{ID: id}, Log: hclog.NewNullLogger(),
			HandleStream: echoStream,
			HandleCall: func(_ context.Context, r *jsonrpc2.Request) (any, error) {
				p.handled.Add(1)
				switch r.Method {
				case "slow":
					<-p.hold
				case "panic":
					panic("malformed")
				case "request":
					var q query.Request
					err := json.Unmarshal(*r.Params, &q)
					return q, err
				case "response":
					var o query.Response
					err := json.Unmarshal(*r.Params, &o)
					return o, err
				}
				return struct{}{}, nil
			},
			OnLinkFailed: func(string, bool) { p.failed.Add(1) }, OnAnswer: func(string) {}, OnHostConnected: func(membership.Host) {},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return n
	}
	p.a, p.b = newNode("a"), newNode("b")
	var err error
	p.relay, err = relay.Start(relay.Config{Target: p.b.Address()})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.toB = membership.Host{ID: "b", PeerAddress: p.relay.Address()}
	x, stop := context.WithCancel(context.Background())
	var r errgroup.Group
	r.Go(func() error { return p.a.Run(x) })
	r.Go(func() error { return p.b.Run(x) })
	t.Cleanup(func() {
		stop()
		p.relay.Stop()
		g.Expect(r.Wait()).To(gomega.Succeed())
	})
	return p
}

func (p *pair) call(method string, limit time.Duration) error {
	x, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	return p.a.Call(x, p.toB, method, nil, nil)
}

// TestLinkActivity checks when a link is checked, trusted and given up.
func TestLinkActivity(t *testing.T) {
	for _, c := range []struct {
		name                  string
		activity              linkActivity
		due, fresh, abandoned bool
	}{
		{"just used", linkActivity{waiting: true}, false, true, false},
		{"waiting for a reply", linkActivity{waiting: true, silence: silenceBeforeCheck}, true, true, false},
		{"call given up", linkActivity{unanswered: true, silence: silenceBeforeCheck}, true, false, false},
		{"unused", linkActivity{silence: time.Second}, false, true, false},
		{"unused for long", linkActivity{silence: freshTime}, false, false, false},
		{"other daemon gone", linkActivity{silence: abandonTime}, false, false, true},
		{"long statement", linkActivity{waiting: true, silence: abandonTime}, true, false, false},
	} {
		g := gomega.NewWithT(t)
		g.Expect(c.activity.checkDue()).To(gomega.Equal(c.due), c.name)
		g.Expect(c.activity.isFresh()).To(gomega.Equal(c.fresh), c.name)
		g.Expect(c.activity.isAbandoned()).To(gomega.Equal(c.abandoned), c.name)
	}
}

// TestUnusedLinkIsQuiet checks that a link without calls carries nothing.
func TestUnusedLinkIsQuiet(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPair(t)
	g.Expect(p.call("fast", busyTime)).To(gomega.Succeed())
	time.Sleep(100 * time.Millisecond)
	was := p.relay.Traffic()
	g.Consistently(p.relay.Traffic, 1500*time.Millisecond, 100*time.Millisecond).Should(gomega.Equal(was))
	g.Expect(p.failed.Load()).To(gomega.BeZero())
}

// TestSilentLinkInUse checks that a link on which a call waits is closed soon
// after the other daemon has gone silent, and that a slow call alone doesn't
// close it.
func TestSilentLinkInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPair(t)
	var r errgroup.Group
	r.Go(func() error { return p.call("slow", time.Minute) })
	g.Consistently(p.failed.Load, 2*time.Second, 100*time.Millisecond).Should(gomega.BeZero())
	p.relay.Silence()
	g.Eventually(p.failed.Load, silenceBeforeCheck+checkInterval+writeTimeout+busyTime, 20*time.Millisecond).Should(gomega.BeEquivalentTo(1))
	close(p.hold)
	g.Expect(r.Wait()).NotTo(gomega.Succeed())
}

// TestCallGivenUp checks that a link is closed if a call was given up without a
// reply and the other daemon stays silent.
func TestCallGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPair(t)
	g.Expect(p.call("fast", busyTime)).To(gomega.Succeed())
	p.relay.Silence()
	g.Expect(p.call("fast", 50*time.Millisecond)).NotTo(gomega.Succeed())
	g.Eventually(p.failed.Load, silenceBeforeCheck+checkInterval+writeTimeout+busyTime, 20*time.Millisecond).Should(gomega.BeEquivalentTo(1))
}

// TestCallVerified checks that work which mustn't run twice isn't sent on a link
// that has failed unnoticed: the caller learns that it wasn't sent, and it isn't
// run when the link recovers.
func TestCallVerified(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPair(t)
	verified := func() error {
		x, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		return p.a.CallVerified(x, p.toB, "fast", nil, nil)
	}
	g.Expect(verified()).To(gomega.Succeed())
	time.Sleep(freshTime)
	g.Expect(verified()).To(gomega.Succeed())
	p.relay.Silence()
	time.Sleep(freshTime)
	was := p.handled.Load()
	err := verified()
	var u *UnsentError
	g.Expect(errors.As(err, &u)).To(gomega.BeTrue(), "%v", err)
	g.Expect(p.relay.SetMode(relay.Pass)).To(gomega.Succeed())
	g.Eventually(verified, busyTime).Should(gomega.Succeed())
	g.Expect(p.handled.Load()).To(gomega.Equal(was + 1))
}

// TestPanicInCall checks that a panic in the handler of a call ends only the call:
// the caller learns that its outcome is unknown, and the link continues.
func TestPanicInCall(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPair(t)
	err := p.call("panic", busyTime)
	g.Expect(err).To(gomega.HaveOccurred())
	var u *UnsentError
	g.Expect(errors.As(err, &u)).To(gomega.BeFalse())
	g.Expect(p.call("fast", busyTime)).To(gomega.Succeed())
	g.Expect(p.failed.Load()).To(gomega.BeZero())
}
