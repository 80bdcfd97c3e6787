// Command standin2 plays the script cases of the review: it starts daemons as separate
// processes against the project's stand-in of the users' platform, brings a disruption
// about, and checks what reached the members.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// scenarios are the cases by name. Each returns whether the rule was broken.
var scenarios = map[string]func(*system) (bool, error){
	"drill": playDrill,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
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
	s, err := start(r)
	if err != nil {
		r.note("couldn't start: %v", err)
		return unrun
	}
	defer s.stop()
	b, err := scenarios[name](s)
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
