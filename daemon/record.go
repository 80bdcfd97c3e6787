package daemon

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/failover"
)

// Timing of the published record of a primary.
const (
	// publishPause is the pause after a failed attempt to write it.
	publishPause = 5 * time.Second
	// publishTries is the greatest number of attempts.
	publishTries = 60
)

// record writes a new primary, which this daemon has placed, to the platform
// as soon as it answers, unless the group has changed again.
func (d *Daemon) record(group string, c failover.PrimaryChanged) {
	if c.Stages == (failover.Stages{}) {
		return
	}
	r := consul.Record{Term: c.Term, Primary: c.Primary}
	d.start(func() error {
		for range publishTries {
			err := d.platform.Publish(d.ctx, group, r)
			d.c.Log.Info("primary published", "group", group, "term", c.Term, "member", c.Primary, "error", err)
			if p, ok := d.router.knownPrimary(group); err == nil || ok && p != c.Primary || d.ctx.Err() != nil {
				return nil
			}
			pause(d.ctx, publishPause)
		}
		return nil
	})
}

// recall takes the published primary of a group as a hint of whom to ask first
// while this daemon knows none.
func (d *Daemon) recall(x context.Context, group string) {
	if _, ok := d.router.knownPrimary(group); ok {
		return
	}
	r, err := d.platform.Published(x, group)
	d.c.Log.Debug("published primary", "group", group, "term", r.Term, "member", r.Primary, "error", err)
	if err == nil && r.Primary != "" {
		d.router.learn(group, failover.View{Term: r.Term, Primary: r.Primary})
	}
}
