// Command standin2 plays the script cases of the review: it starts daemons as separate
// processes against the project's stand-in of the users' platform, brings a disruption
// about, and checks what reached the members.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// The exit statuses.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// scenarios are the cases by name. Each returns whether the rule was broken.
var scenarios = map[string]scenario{
	"promotion": {play: playPromotion, layout: layout{domains: []string{"west-a", "west-b", "north-a", "north-a", "north-a"}, oneRegion: true}},
	"cuts":      {play: playCuts, layout: layout{domains: []string{"west-a", "west-b", "north-a"}, promotionTime: time.Second}},
	"drill":     {play: playDrill, layout: layout{domains: []string{"west-a", "west-b", "north-a"}}},
}

// scenario is a case.
type scenario struct {
	play   func(*system) (bool, error)
	layout layout
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(unrun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, file string) int {
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer r.close()
	s, err := start(r, scenarios[name].layout)
	if err != nil {
		r.note("couldn't start: %v", err)
		return unrun
	}
	defer s.stop()
	b, err := scenarios[name].play(s)
	switch {
	case err != nil:
		r.note("couldn't run: %v", err)
		return unrun
	case b:
		r.note("the rule was broken")
		return broken
	default:
		r.note("the rule held")
		return held
	}
}

// trouble reports whether the disruption is to be brought about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// playDrill lets a primary leave shortly after the store has come back from a copy. No
// request may reach the member later than drainTime after the store has its report.
func playDrill(s *system) (bool, error) {
	const (
		quiet   = 6 * time.Second
		copyAge = 3 * time.Second
		// stable is longer than stable_window_ms of the deployment.
		stable = 5300 * time.Millisecond
		after  = 5 * time.Second
	)
	s.startLoad(quiet + stable + drainTime + after)
	time.Sleep(quiet)
	if trouble() {
		s.record.note("the store comes back from a copy of %s before", copyAge)
		s.site.RestoreStore(copyAge)
	}
	time.Sleep(stable)
	s.site.DrainPrimary(0)
	at := time.Now()
	s.record.note("the store has the report that the primary is draining")
	served := s.endLoad()
	if served < minServed {
		return false, fmt.Errorf("only %d operations were served", served)
	}
	p, ok := s.primaryAt(at)
	if !ok {
		return false, fmt.Errorf("no member ran writes before it left")
	}
	n, last := s.countStarts(p, at.Add(drainTime))
	s.record.note("%s was the primary; later than %s after the report %d statements and transactions began there", p, drainTime, n)
	if n > 0 {
		s.record.note("the last one came %s after the report", last.Sub(at).Round(time.Millisecond))
	}
	return n > 0, nil
}

// drainTime is drain_ms of the deployment, minServed the operations without which nothing
// was tested.
const (
	drainTime = 7 * time.Second
	minServed = 200
)

// playPromotion cuts the machine of a group's holder off from the promotion service while a
// promotion is on its way, and kills the process meanwhile.
func playPromotion(s *system) (bool, error) {
	const (
		quiet   = 6 * time.Second
		cutTime = 1500 * time.Millisecond
		// restart is how long the platform takes to start a killed process again.
		restart = 300 * time.Millisecond
		after   = 12 * time.Second
	)
	s.startLoad(quiet + after)
	time.Sleep(quiet)
	if trouble() {
		for _, d := range s.daemons {
			d.gate.cut(func() { s.killHolder(d, cutTime, restart) })
		}
	}
	s.record.note("the primary is to be replaced")
	s.site.DrainPrimary(0)
	served := s.endLoad()
	if served < minServed {
		return false, fmt.Errorf("only %d operations were served", served)
	}
	n := s.countONE()
	if len(s.platform.calls) == 0 {
		return false, fmt.Errorf("no promotion was requested")
	}
	return n > 0, nil
}

// killHolder ends the process whose promotion is held, and starts it again. The other
// machines reach the promotion service all the time.
func (s *system) killHolder(d *daemon, cutTime, restart time.Duration) {
	for _, o := range s.daemons {
		if o != d {
			o.gate.heal()
		}
	}
	time.AfterFunc(cutTime, func() {
		s.record.note("%s reaches the promotion service again", d.name)
		d.gate.heal()
	})
	s.record.note("%s is killed", d.name)
	d.kill()
	time.AfterFunc(restart, func() {
		s.record.note("%s is started again", d.name)
		if err := s.run(d, false); err != nil {
			s.record.note("start failed: %v", err)
		}
	})
}

// countONE returns how often the stand-ins saw ONE broken, and notes it.
func (s *system) countONE() int {
	n, late := 0, 0
	for _, v := range s.site.Violations() {
		if !strings.HasPrefix(v, "ONE") {
			continue
		}
		n++
		if strings.Contains(v, "was committed at") {
			late++
			s.record.line("seen: %s", v)
			continue
		}
		s.record.note("seen: %s", v)
	}
	s.record.note("%d writes were committed at a member after the promotion of the next term, and acknowledged", late)
	return n
}

// playCuts lets a primary leave. Each of the first two members that are promoted in its place
// is cut off while its promotion takes effect, for cutTime.
func playCuts(s *system) (bool, error) {
	const (
		quiet   = 6 * time.Second
		cutTime = 5500 * time.Millisecond
		after   = 20 * time.Second
	)
	s.startLoad(quiet + after)
	time.Sleep(quiet)
	var mu sync.Mutex
	seen := map[string]bool{}
	s.platform.promoted = func(member string) {
		mu.Lock()
		defer mu.Unlock()
		first := !seen[member]
		seen[member] = true
		switch {
		case trouble() && first && len(seen) <= 2:
			s.members[member].cut(cutTime)
			if len(seen) == 2 {
				// The member that was promoted first reaches the second one after the cut.
				time.AfterFunc(cutTime+stopTime, s.stopReplaced)
			}
		case !trouble():
			time.AfterFunc(s.layout.promotion()+stopTime, s.stopReplaced)
		}
	}
	s.record.note("the primary is to be replaced")
	s.site.DrainPrimary(0)
	served := s.endLoad()
	if served < minServed {
		return false, fmt.Errorf("only %d operations were served", served)
	}
	return s.countONE() > 0, nil
}
