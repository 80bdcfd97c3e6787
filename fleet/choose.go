package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// survey asks the members of a group for their status, except for skip.
func (f *Daemon) survey(x context.Context, g *group, skip string) []takeover.MemberStatus {
	f.mu.Lock()
	var l []takeover.MemberStatus
	for _, m := range f.members {
		if m.Group == g.name && m.ID != skip {
			l = append(l, takeover.MemberStatus{Member: m})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(l, func(a, b takeover.MemberStatus) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	var w errgroup.Group
	var mu sync.Mutex
	for i := range l {
		w.Go(func() error {
			s, err := f.ask(x, l[i].Member)
			mu.Lock()
			defer mu.Unlock()
			l[i].Status, l[i].Err = s, err
			return nil
		})
	}
	_ = w.Wait()
	return l
}

// ask asks a member for its status on a connection of its own.
func (f *Daemon) ask(x context.Context, m catalog.Member) (query.Status, error) {
	x, stop := context.WithTimeout(x, statusTime)
	defer stop()
	c, _, err := f.c.Dialer.Dial(x, m)
	if err != nil {
		return query.Status{}, err
	}
	defer c.Close()
	d, _ := x.Deadline()
	for {
		o, err := c.Do(query.GetStatus{}, d)
		if err != nil {
			return query.Status{}, err
		}
		if o.Failure == nil || o.Failure.Reason != query.Overloaded || !pause(x, leadPoll) {
			return f.c.Decoder.Status(o)
		}
	}
}

// choose returns the member to promote. If the primary still answers, it waits a
// little for a replica to hold all of its log.
func (f *Daemon) choose(x context.Context, g *group, old string, planned bool) (takeover.MemberStatus, bool) {
	t := time.Now()
	c := takeover.SelectionInput{OldPrimary: old, Planned: planned, Nearer: f.nearer}
	if k := f.Catalog(); k != nil {
		c.SyncReplicas = k.Groups[g.name].SyncReplicas
	}
	skip := old
	if planned {
		skip = ""
	}
	for {
		c.Statuses, c.CatchUpExpired = f.survey(x, g, skip), time.Since(t) > catchUpTime
		for _, a := range c.Statuses {
			if a.Err != nil {
				f.c.Log.Info("member without status", "group", g.name, "member", a.Member.ID, "error", a.Err)
			}
		}
		f.mu.Lock()
		a, r := g.SelectCandidate(c)
		f.mu.Unlock()
		if r != takeover.CandidateCatchingUp {
			return a, r == takeover.CandidateReady
		}
		if !pause(x, leadPoll) {
			return takeover.MemberStatus{}, false
		}
	}
}
