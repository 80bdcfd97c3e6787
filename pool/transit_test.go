package pool_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

const (
	serviceTime = 12 * time.Millisecond
	playedTime  = 5 * time.Second
	memberSlots = 2
)

// distantMember serves memberSlots statements at a time. Each step takes a round trip.
type distantMember struct {
	roundTrip time.Duration
	slots     chan struct{}
	// waiting counts the statements at the member, and mostWaiting is its highest value.
	waiting, mostWaiting atomic.Int64
	signed               atomic.Int64
}

func (m *distantMember) Dial(context.Context, catalog.Member, string) (pool.Conn, logpos.Position, error) {
	time.Sleep(m.roundTrip)
	return &distantConn{m}, logpos.Position{}, nil
}

type distantConn struct{ m *distantMember }

func (c *distantConn) Close() {}

func (c *distantConn) RunStep(s query.Step, _ time.Time) (query.Reply, error) {
	time.Sleep(c.m.roundTrip / 2)
	if _, ok := s.(query.RunStatement); ok {
		c.m.mostWaiting.Store(max(c.m.mostWaiting.Load(), c.m.waiting.Add(1)))
		c.m.slots <- struct{}{}
		time.Sleep(serviceTime)
		<-c.m.slots
		c.m.waiting.Add(-1)
	}
	time.Sleep(c.m.roundTrip / 2)
	return query.Reply{State: query.Idle, Signature: signature(s, &c.m.signed)}, nil
}

// playDistant lets 40 callers send reads, each with its own session values, to a member
// at a distance, and returns how many are served within playedTime.
func playDistant(roundTrip time.Duration) (served int, m *distantMember) {
	m = &distantMember{roundTrip: roundTrip, slots: make(chan struct{}, memberSlots)}
	p := pool.New(pool.Config{
		Member: catalog.Member{ID: "m", Slots: memberSlots}, Connections: 16, Dialer: m, Now: time.Now,
		ObservePosition: func(logpos.Position, time.Time) {}, Log: hclog.NewNullLogger(),
	})
	defer p.Close()
	var n atomic.Int64
	var w sync.WaitGroup
	t := time.Now()
	for i := range 40 {
		w.Go(func() {
			for time.Since(t) < playedTime {
				s := strconv.Itoa(i)
				if o := p.Execute(context.Background(), request(s, s, query.Single, query.ActionRead), logpos.Position{}, allow); o.Failure == nil && time.Since(t) < playedTime {
					n.Add(1)
				}
			}
		})
	}
	w.Wait()
	return int(n.Load()), m
}

func TestDistantMemberIsKeptBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		served, _ := playDistant(60 * time.Millisecond)
		t.Logf("served %d", served)
		// Ten connections carry a read at a time, each for a reset, a value and the
		// statement.
		g.Expect(served).To(gomega.BeNumerically(">", 200))
	})
}

func TestNearMemberGetsOneStatementBeyondItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		served, m := playDistant(400 * time.Microsecond)
		t.Logf("served %d", served)
		g.Expect(served).To(gomega.BeNumerically(">", 0.9*memberSlots*float64(playedTime/serviceTime)))
		g.Expect(m.mostWaiting.Load()).To(gomega.BeNumerically("<=", memberSlots+1))
	})
}
