package teamconns_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/teamconns"
)

func TestTeamConns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "teamconns")
}

var _ = Describe("Set", func() {
	t := time.Unix(1000, 0)
	var s *teamconns.Set
	var id uint64
	BeforeEach(func() { s, id = teamconns.New(teamconns.Config{Connections: 3, Slots: 4}), 0 })
	request := func(team, values string, now time.Time) []teamconns.Action {
		id++
		return s.Handle(teamconns.Requested{ID: id, Team: team, Values: values}, now)
	}
	// open lets a team open a connection and returns it.
	open := func(team string, now time.Time) uint64 {
		o := request(team, "", now)
		c := o[len(o)-1].(teamconns.Open).Conn
		s.Handle(teamconns.Opened{Conn: c, Took: 10 * time.Millisecond}, now)
		return c
	}
	release := func(c uint64, values string, now time.Time) []teamconns.Action {
		return s.Handle(teamconns.Released{Conn: c, Values: values}, now)
	}

	It("uses an idle connection of the same team, with the same values or released last", func() {
		a := open("red", t)
		s.Handle(teamconns.Kept{Conn: a}, t)
		b, c := open("red", t), open("blue", t)
		release(a, "v=1", t)
		release(b, "v=2", t)
		release(c, "v=1", t)
		Expect(request("red", "v=1", t)).To(Equal([]teamconns.Action{teamconns.Use{Request: id, Conn: a}}))
		release(a, "v=1", t)
		Expect(request("red", "v=3", t)).To(Equal([]teamconns.Action{teamconns.Use{Request: id, Conn: a}}))
	})

	It("closes the idle connection whose team needs it least, not the least recently used one", func() {
		a, b, c := open("often", t), open("seldom", t), open("red", t)
		for range 5 {
			release(a, "", t)
			request("often", "", t)
		}
		release(a, "", t)
		release(b, "", t.Add(time.Second))
		release(c, "", t.Add(time.Second))
		request("red", "", t.Add(time.Second))
		o := request("blue", "", t.Add(time.Second))
		Expect(o[0]).To(Equal(teamconns.Close{Conn: b, Reason: teamconns.CloseForOther}))
		Expect(o[1].(teamconns.Open).Reason).To(Equal(teamconns.OpenFirst))
	})

	It("lets a request wait for its team's running connection for as long as an opening takes", func() {
		a := open("red", t)
		now := t.Add(time.Millisecond)
		Expect(request("red", "", now)).To(Equal([]teamconns.Action{teamconns.Yield{Request: id}}))
		due, ok := s.NextTick(now)
		Expect(ok).To(BeTrue())
		Expect(due).To(BeTemporally("~", now.Add(10*time.Millisecond), time.Millisecond))
		Expect(release(a, "", now.Add(time.Millisecond))).To(Equal([]teamconns.Action{teamconns.Use{Request: id, Conn: a}}))
		request("red", "", now.Add(2*time.Millisecond))
		o := s.Handle(teamconns.Ticked{}, now.Add(12*time.Millisecond))
		Expect(o).To(HaveLen(1))
		Expect(o[0].(teamconns.Open).Reason).To(Equal(teamconns.OpenMore))
	})

	It("doesn't wait for connections that transactions keep", func() {
		s.Handle(teamconns.Kept{Conn: open("red", t)}, t)
		o := request("red", "", t)
		Expect(o[0].(teamconns.Open).Reason).To(Equal(teamconns.OpenFirst))
	})

	It("runs openings on at most half of the slots", func() {
		for _, n := range []string{"a", "b"} {
			Expect(request(n, "", t)[0]).To(BeAssignableToTypeOf(teamconns.Open{}))
		}
		Expect(request("c", "", t)).To(Equal([]teamconns.Action{teamconns.Yield{Request: id}}))
		o := s.Handle(teamconns.Opened{Conn: 1}, t)
		Expect(o[0].(teamconns.Open).Request).To(Equal(id))
	})

	It("doesn't let openings that the member leaves unanswered delay the others", func() {
		request("a", "", t)
		request("b", "", t)
		request("c", "", t)
		now := t.Add(49 * time.Millisecond)
		Expect(s.Handle(teamconns.Ticked{}, now)).To(BeEmpty())
		due, _ := s.NextTick(now)
		Expect(due).To(Equal(t.Add(50 * time.Millisecond)))
		Expect(s.Handle(teamconns.Ticked{}, due)[0]).To(BeAssignableToTypeOf(teamconns.Open{}))
	})

	It("opens no more at once than it is told to, also for callers without a team", func() {
		s.Handle(teamconns.Limited{Openings: 1}, t)
		Expect(request("", "", t)[0]).To(BeAssignableToTypeOf(teamconns.Open{}))
		Expect(request("", "", t)).To(BeEmpty())
		Expect(request("red", "", t)).To(BeEmpty())
		Expect(s.Handle(teamconns.Opened{Conn: 1}, t)).To(HaveLen(1))
		Expect(s.Handle(teamconns.Limited{}, t)).To(HaveLen(1))
	})

	It("waits after the member has refused a connection, and makes room there", func() {
		a := open("red", t)
		release(a, "", t)
		c := request("blue", "", t)[0].(teamconns.Open).Conn
		Expect(s.Handle(teamconns.OpeningFailed{Conn: c, Full: true}, t)).To(Equal([]teamconns.Action{teamconns.Close{Conn: a, Reason: teamconns.CloseFull}}))
		Expect(request("blue", "", t)).To(BeEmpty())
		due, _ := s.NextTick(t)
		Expect(due).To(Equal(t.Add(250 * time.Millisecond)))
		Expect(s.Handle(teamconns.Ticked{}, due)).To(HaveLen(1))
	})

	It("opens connections in place of idle ones while the member is full, until that is refused, too", func() {
		a, b := open("red", t), open("green", t)
		c := request("blue", "", t)[0].(teamconns.Open).Conn
		s.Handle(teamconns.OpeningFailed{Conn: c, Full: true}, t)
		Expect(request("blue", "", t)).To(BeEmpty())
		Expect(request("", "", t)).To(BeEmpty())
		o := release(a, "", t)
		Expect(o[0]).To(Equal(teamconns.Close{Conn: a, Reason: teamconns.CloseForOther}))
		c = o[1].(teamconns.Open).Conn
		now := t.Add(10 * time.Millisecond)
		s.Handle(teamconns.OpeningFailed{Conn: c, Full: true}, now)
		Expect(request("yellow", "", now)).To(BeEmpty())
		Expect(release(b, "", now)).To(BeEmpty())
		o = s.Handle(teamconns.Ticked{}, now.Add(250*time.Millisecond))
		Expect(o[0]).To(BeAssignableToTypeOf(teamconns.Open{}))
	})

	It("opens connections for callers without a team as long as there is room, and closes none of their own", func() {
		for range 3 {
			Expect(request("", "", t)[0]).To(BeAssignableToTypeOf(teamconns.Open{}))
		}
		Expect(request("", "", t)).To(BeEmpty())
		Expect(release(1, "", t)).To(Equal([]teamconns.Action{teamconns.Use{Request: id, Conn: 1}}))
	})

	It("closes connections that were idle for long", func() {
		a, b := open("red", t), open("", t)
		release(a, "", t)
		release(b, "", t)
		Expect(s.Handle(teamconns.IdleExpired{Before: t, TeamsBefore: t}, t)).To(BeEmpty())
		Expect(s.Handle(teamconns.IdleExpired{Before: t.Add(1), TeamsBefore: t}, t)).To(Equal([]teamconns.Action{teamconns.Close{Conn: b, Reason: teamconns.CloseIdle}}))
		Expect(s.Handle(teamconns.IdleExpired{TeamsBefore: t.Add(1)}, t)).To(Equal([]teamconns.Action{teamconns.Close{Conn: a, Reason: teamconns.CloseIdle}}))
		Expect(s.Len()).To(BeZero())
	})

	It("forgets teams that haven't used the member for long", func() {
		for i := range 1000 {
			now := t.Add(time.Duration(i) * 10 * time.Second)
			release(open("t"+strconv.Itoa(i), now), "", now)
		}
		Expect(s.Remembered()).To(BeNumerically("<", 60))
	})
})

// TestConnectionsStayWithinTheirTeamAndTheLimit draws events and checks that each request
// gets a connection of its team, that no connection is used twice, that none is opened
// beyond the limit and that no request is forgotten.
func TestConnectionsStayWithinTheirTeamAndTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := teamconns.Config{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Slots: rapid.IntRange(1, 4).Draw(t, "slots")}
		m := newModel(c)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
			if m.problem != "" {
				t.Fatal(m.problem)
			}
		}
		if p := m.finish(); p != "" {
			t.Fatal(p)
		}
	})
}
