package site_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/standin/site"
)

// teamsConfig has more teams than a member allows connections.
var teamsConfig = site.Config{Groups: 2, Lag: 15 * time.Millisecond, StatementTime: time.Millisecond, PromotionTime: 200 * time.Millisecond, Teams: 12}

// caller is a caller's session, of which each line is sent by hand.
type caller struct {
	conn net.Conn
	r    *bufio.Reader
	n    int
}

func newCaller(address, database, key string) *caller {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	o := &caller{conn: c, r: bufio.NewReader(c)}
	Expect(o.send("START " + database + " " + key)).To(Equal("READY I"))
	return o
}

// send sends a line and returns the code of the answer's error and its end.
func (c *caller) send(line string) string {
	Expect(c.conn.SetDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
	_, err := io.WriteString(c.conn, line+"\r\n")
	Expect(err).NotTo(HaveOccurred())
	code := ""
	for {
		k, fields, err := site.ReadMessage(c.r)
		Expect(err).NotTo(HaveOccurred())
		w, _, _ := strings.Cut(fields, " ")
		switch k {
		case "ERROR":
			code = w + " "
		case "READY":
			return code + "READY " + w
		}
	}
}

func (c *caller) query(text string) string {
	c.n++
	return c.send(fmt.Sprintf("QUERY id%d %s", c.n, text))
}

// expectNoKeys expects no key in the logs, nor in the metrics of the first daemon.
func (f *fleet) expectNoKeys() {
	r, err := http.Get("http://" + f.daemons[0].settings.MetricsListen)
	Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(b)).To(ContainSubstring("dragonflypick_configuration_version"))
	for _, t := range []string{string(b), f.logs.String()} {
		Expect(strings.Contains(t, strings.TrimSuffix(site.ClientKey(0), "0"))).To(BeFalse())
	}
}

// expectExplained expects the first daemon to explain a read of a team, and to show nothing
// of another one.
func (f *fleet) expectExplained(team, other int) {
	q := explanation.Query{Database: "g0-own", Kind: explanation.Read, Team: f.site.TeamName(team)}
	r, err := http.Get("http://" + f.daemons[0].settings.MetricsListen + explanation.Path + "?" + q.Values().Encode())
	Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	var e explanation.Explanation
	Expect(json.Unmarshal(b, &e)).To(Succeed())
	Expect(e.Decision.Outcome).To(Equal(explanation.Sent))
	Expect(e.Candidates).To(HaveLen(3))
	Expect(string(b)).To(ContainSubstring(f.site.TeamName(team)))
	Expect(string(b)).NotTo(ContainSubstring(f.site.TeamName(other)))
	Expect(string(b)).NotTo(ContainSubstring(strings.TrimSuffix(site.ClientKey(0), "0")))
}

var _ = Describe("teams", func() {
	It("run on connections in their name while keys are withdrawn, moved and given back, and no key is told", func() {
		f := newFleet(teamsConfig, 3)
		time.AfterFunc(500*time.Millisecond, func() { f.site.MoveKey(0, "") })
		time.AfterFunc(700*time.Millisecond, func() { f.site.MoveKey(1, f.site.TeamName(2)) })
		time.AfterFunc(1500*time.Millisecond, func() { f.site.MoveKey(2, "") })
		time.AfterFunc(4500*time.Millisecond, func() { f.site.MoveKey(2, f.site.TeamName(5)) })
		o := f.runLoad(21, 6*time.Second)
		Expect(o.Served).To(BeNumerically(">", 500))
		Expect(o.Denied).To(BeNumerically(">", 50))
		Expect(o.InDoubt + o.Disconnected).To(BeZero())
		f.expectExplained(5, 4)
		f.expectNoKeys()
	})

	It("don't get a withdrawn key back at hosts that the store turns away, or that start meanwhile", func() {
		f := newFleet(teamsConfig, 3)
		seed := f.daemons[0].settings.PeerListen
		f.startAt("away", "west-b", f.site.TurnedAwayAddress, seed)
		Eventually(func() int { return len(f.addresses()) }, 5*time.Second, 20*time.Millisecond).Should(Equal(4))
		time.AfterFunc(300*time.Millisecond, func() { f.site.SetTurnedAway(true) })
		time.AfterFunc(600*time.Millisecond, func() { f.site.MoveKey(0, "") })
		time.AfterFunc(800*time.Millisecond, func() { f.site.MoveKey(1, f.site.TeamName(3)) })
		time.AfterFunc(time.Second, f.daemons[3].stop)
		time.AfterFunc(2*time.Second, func() { f.startAt("late", "west-b", f.site.TurnedAwayAddress, seed) })
		time.AfterFunc(3*time.Second, func() { f.startAt("later", "west-a", f.site.TurnedAwayAddress, seed) })
		o := f.runLoad(22, 7*time.Second)
		Expect(o.Served).To(BeNumerically(">", 500))
		Expect(len(f.addresses())).To(Equal(5))
		for _, a := range f.addresses() {
			Expect(connectWith(a, "g0-own", site.ClientKey(0))).To(HavePrefix("ERROR DENIED"))
		}
	})

	It("don't get a withdrawn key back from a store that has come back from an older copy", func() {
		f := newFleet(teamsConfig, 3)
		time.Sleep(500 * time.Millisecond)
		f.site.MoveKey(0, "")
		Eventually(func() string { return connectWith(f.daemons[0].settings.CallerListen, "g0-own", site.ClientKey(0)) }, 3*time.Second, 20*time.Millisecond).Should(HavePrefix("ERROR DENIED"))
		time.Sleep(time.Second)
		f.site.RestoreStore(1500 * time.Millisecond)
		d := f.start("late", "north-a")
		// The host is confirmed by three others, or 2.5 s after it has heard the first one, and
		// then found ready within a second.
		t := time.Now()
		ready := func() bool { return slices.Contains(f.addresses(), d.settings.CallerListen) }
		for time.Since(t) < 2*time.Second || !ready() && time.Since(t) < 4*time.Second {
			for _, a := range f.addresses() {
				Expect(connectWith(a, "g0-own", site.ClientKey(0))).NotTo(HavePrefix("READY"))
			}
			time.Sleep(20 * time.Millisecond)
		}
		Expect(ready()).To(BeTrue())
	})

	It("lose an open transaction with their key", func() {
		f := newFleet(teamsConfig, 3)
		a := f.daemons[0].settings.CallerListen
		Expect(connectWith(a, "g0-primary", "unknown")).To(HavePrefix("ERROR DENIED"))
		open, idle, moved := newCaller(a, "g0-primary", site.ClientKey(0)), newCaller(a, "g0-primary", site.ClientKey(0)), newCaller(a, "g0-primary", site.ClientKey(1))
		for _, c := range []*caller{open, moved} {
			Expect(c.query("BEGIN")).To(Equal("READY T"))
		}
		// The later of the two versions withdraws the key that is waited for.
		f.site.MoveKey(1, f.site.TeamName(4))
		f.site.MoveKey(0, "")
		Eventually(func() string { return idle.query("SET v 1") }, 3*time.Second, 20*time.Millisecond).Should(Equal("DENIED READY I"))
		Expect(open.query("READ k1")).To(Equal("DENIED READY E"))
		Expect(open.query("ROLLBACK")).To(Equal("READY I"))
		Expect(open.query("BEGIN")).To(Equal("DENIED READY I"))
		Expect(moved.query("COMMIT")).To(Equal("ABORTED READY I"))
		Expect(connectWith(a, "g0-primary", site.ClientKey(0))).To(HavePrefix("ERROR DENIED"))
	})

	It("stay as they were while the newest configuration is invalid, also at a host that starts then", func() {
		f := newFleet(teamsConfig, 3)
		f.site.PutConfiguration([]byte(`{"version":99,"tenants":[{"name":"a","api_keys":["` + site.ClientKey(0) + `"]},{"name":"b","api_keys":["` + site.ClientKey(0) + `"]}]}`))
		f.start("late", "west-a")
		Eventually(func() int { return len(f.addresses()) }, 5*time.Second, 20*time.Millisecond).Should(Equal(4))
		for _, a := range f.addresses() {
			Expect(connectWith(a, "g0-own", site.ClientKey(0))).To(HavePrefix("READY I"))
		}
		Expect(f.logs.String()).To(ContainSubstring("tenants[1].api_keys[0]"))
		f.expectNoKeys()
	})
})
