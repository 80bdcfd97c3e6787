package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// answer is a member's status, or why there is none.
type answer struct {
	member catalog.Member
	status query.Status
	err    error
}

// survey asks the members of a group for their status, except for skip.
func (f *Fleet) survey(x context.Context, g *group, skip string) []answer {
	f.mu.Lock()
	var l []answer
	for _, m := range f.members {
		if m.Group == g.name && m.ID != skip {
			l = append(l, answer{member: m})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(l, func(a, b answer) int { return strings.Compare(a.member.ID, b.member.ID) })
	var w errgroup.Group
	var mu sync.Mutex
	for i := range l {
		w.Go(func() error {
			s, err := f.ask(x, l[i].member)
			mu.Lock()
			defer mu.Unlock()
			l[i].status, l[i].err = s, err
			return nil
		})
	}
	_ = w.Wait()
	return l
}

// ask asks a member for its status on a connection of its own.
func (f *Fleet) ask(x context.Context, m catalog.Member) (query.Status, error) {
	x, stop := context.WithTimeout(x, statusTime)
	defer stop()
	c, _, err := f.c.Dialer.Dial(x, m)
	if err != nil {
		return query.Status{}, err
	}
	defer c.Close()
	d, _ := x.Deadline()
	for {
		o, err := c.Do(query.AskStatus{}, d)
		if err != nil {
			return query.Status{}, err
		}
		if o.Failure == nil || o.Failure.Reason != query.Overloaded || !pause(x, leadPoll) {
			return f.c.Decoder.Status(o)
		}
	}
}

// choose returns the replica with the most of the log. If the primary still
// answers, it waits a little for one to hold all of it.
func (f *Fleet) choose(x context.Context, g *group, old string, planned bool) (answer, bool) {
	t := time.Now()
	skip := old
	if planned {
		skip = ""
	}
	sync := 0
	if c := f.Catalog(); c != nil {
		sync = c.Groups[g.name].SyncReplicas
	}
	for {
		l := f.survey(x, g, skip)
		for _, a := range l {
			if a.err != nil {
				f.c.Log.Info("member without status", "group", g.name, "member", a.member.ID, "error", a.err)
			} else if a.member.ID != old && f.leads(g, a) {
				return a, true
			}
		}
		p, ok := pick(l, old, sync, f.nearer)
		if !ok {
			return answer{}, false
		}
		if !planned || p.whole || time.Since(t) > catchUpTime {
			return p.answer, true
		}
		if !pause(x, leadPoll) {
			return answer{}, false
		}
	}
}

// picked is the replica to promote.
type picked struct {
	answer
	// whole tells that it holds all that the primary reported.
	whole bool
}

// pick returns the replica with the most of the log, one that stays first. Where
// commits are acknowledged once sync replicas hold them, it returns one only if
// enough have answered for one of them to hold every such commit, and prefers
// that one even if it leaves.
func pick(l []answer, old string, sync int, nearer func(a, b catalog.Member) bool) (picked, bool) {
	var end, most logpos.Position
	best, missing := -1, 0
	for i, a := range l {
		switch {
		case a.member.ID == old:
			if a.err == nil && a.status.Primary {
				end = a.status.Received
			}
			continue
		case a.err != nil:
			missing++
			continue
		}
		most = logpos.Max(most, a.status.Received)
		if best < 0 || better(a, l[best], sync > 0, nearer) {
			best = i
		}
	}
	if best < 0 || sync > 0 && missing >= sync {
		return picked{}, false
	}
	r := l[best].status.Received
	if l[best].member.Draining && sync == 0 || sync > 0 && r.Less(most) {
		return picked{}, false
	}
	return picked{answer: l[best], whole: !r.Less(end)}, true
}

// better reports whether a is to be promoted rather than b; byLog lets the log go
// before whether a member leaves.
func better(a, b answer, byLog bool, nearer func(a, b catalog.Member) bool) bool {
	p, q := a.status.Received, b.status.Received
	if !byLog && a.member.Draining != b.member.Draining {
		return b.member.Draining
	}
	if p != q {
		return q.Less(p)
	}
	if a.member.Draining != b.member.Draining {
		return b.member.Draining
	}
	return nearer(a.member, b.member)
}
