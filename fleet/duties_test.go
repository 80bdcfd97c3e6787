package fleet

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/assignment"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// populate gives a daemon a fleet of hosts and groups of three members each, whose
// holders are the owners of their primaries. The daemon's host is the first one.
func populate(f *Daemon, hosts, groups int) {
	var l []membership.Host
	for i := range hosts {
		d := i % 6
		h := membership.Host{ID: "h" + strconv.Itoa(i), PeerAddress: "10.0.0.1:" + strconv.Itoa(i), FailureDomain: "d" + strconv.Itoa(d), Region: "r" + strconv.Itoa(d%2)}
		if i == 0 {
			h = f.config.Self
		}
		l = append(l, h)
	}
	f.updateView(membership.ListReceived{Hosts: l})
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range groups {
		name := "g" + strconv.Itoa(i)
		for j := range 3 {
			d := (i + j) % 6
			f.table.SetMember(catalog.Member{ID: fmt.Sprintf("m%d-%d", i, j), Group: name, FailureDomain: "d" + strconv.Itoa(d), Region: "r" + strconv.Itoa(d%2), Slots: 4, Primary: j == 0})
		}
		g := f.group(name)
		m, _ := f.table.AssumedPrimary(g.name)
		h, _ := f.view.Owner(assignment.ViewMember(m), time.Now())
		r := lease.Record{Holder: lease.Holder{ID: h.ID, Address: h.PeerAddress}, Primary: m.ID, Epoch: 1}
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: at(uint64(i) + 1)}}, now())
	}
}

func newFleetMember(log hclog.Logger) (*Daemon, error) {
	return New(Config{Self: membership.Host{ID: "h0", FailureDomain: "d0", Region: "r0"}, PeerListen: "127.0.0.1:0", Secret: "s", Log: log})
}

var _ = Describe("duties", func() {
	It("are the groups that a host holds or would take over, each of them on three hosts", func() {
		f, err := newFleetMember(hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.stop)
		populate(f, 60, 120)
		f.mu.Lock()
		defer f.mu.Unlock()
		l := f.currentDuties()
		// 20 of the 120 primaries are in this host's failure domain of 10 hosts.
		Expect(len(l)).To(BeNumerically("~", 6, 5))
		held := 0
		for _, g := range f.groups {
			r, _ := g.Record()
			if r.Holder.ID == "h0" {
				held++
				Expect(l).To(ContainElement(g))
			}
		}
		Expect(held).To(BeNumerically(">", 0))
	})

	It("follow the members, the records and the hosts", func() {
		f, err := newFleetMember(hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.stop)
		populate(f, 60, 120)
		f.mu.Lock()
		var other *group
		for _, g := range f.groups {
			if r, _ := g.Record(); r.Holder.ID != "h0" && !f.table.HasDuty(g.name, time.Now()) {
				other = g
			}
		}
		Expect(f.currentDuties()).NotTo(ContainElement(other))
		f.mu.Unlock()
		f.applyRecord(store.Item{Key: recordKey(other), Value: []byte(`{"holder":{"id":"h0"},"epoch":2}`), Position: at(1000)}, time.Time{})
		f.mu.Lock()
		Expect(f.currentDuties()).To(ContainElement(other))
		f.mu.Unlock()
		f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self}})
		for i := range 60 {
			f.updateView(membership.LinkFailed{ID: "h" + strconv.Itoa(i)})
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		Expect(f.currentDuties()).To(HaveLen(120))
		for _, m := range f.table.GroupMembers("g0") {
			f.table.RemoveMember(m.ID)
		}
		Expect(f.currentDuties()).To(HaveLen(119))
	})
})

var _ = Describe("a group whose primary registers last", func() {
	It("becomes a duty of the primary's owner although its replicas were known before", func() {
		f, err := newFleetMember(hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.stop)
		f.config.Decoder = Decoder{ConfigurationKey: "configuration", MemberPrefix: "members/", Member: func(_ string, v []byte) (catalog.Member, uint64, error) {
			var m catalog.Member
			err := json.Unmarshal(v, &m)
			return m, 1, err
		}}
		f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self, {ID: "h1", FailureDomain: "d1", Region: "r1"}, {ID: "h2", FailureDomain: "d2", Region: "r0"}}})
		register := func(revision uint64, m catalog.Member) []*group {
			v, err := json.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			f.applyItems([]store.Item{{Key: "members/" + m.ID, Value: v, Position: at(revision)}}, fromStore)
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.currentDuties()
		}
		Expect(register(1, catalog.Member{ID: "a", Group: "g", FailureDomain: "d1", Region: "r1"})).To(BeEmpty())
		Expect(register(2, catalog.Member{ID: "b", Group: "g", FailureDomain: "d2", Region: "r0"})).To(BeEmpty())
		Expect(register(3, catalog.Member{ID: "c", Group: "g", FailureDomain: "d0", Region: "r0", Primary: true})).To(HaveLen(1))
	})
})

// BenchmarkTick measures the periodic work of a daemon that holds one group, in the
// deployments named by their hosts and groups.
func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ hosts, groups int }{{18, 5}, {195, 20}, {4974, 6200}} {
		b.Run(fmt.Sprintf("%d hosts, %d groups", c.hosts, c.groups), func(b *testing.B) {
			f, err := newFleetMember(hclog.NewNullLogger())
			if err != nil {
				b.Fatal(err)
			}
			defer f.stop()
			populate(f, c.hosts, c.groups)
			f.mu.Lock()
			for id := range f.view.Hosts() {
				f.lastPinged["h"+strconv.Itoa(id)] = time.Now().Add(time.Hour)
			}
			f.hostLease = 0
			f.mu.Unlock()
			for b.Loop() {
				f.startGroupTasks()
				f.refreshPositions()
				f.pingHolders()
			}
		})
	}
}
