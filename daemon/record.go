package daemon

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/failover"
)

// Timing of the published record of a primary.
const (
	// publishRetryDelay is the pause after a failed attempt to write it.
	publishRetryDelay = 5 * time.Second
	// maxPublishAttempts is the greatest number of attempts.
	maxPublishAttempts = 60
)

// publishPrimary writes a new primary, which this daemon has placed, to the platform
// as soon as it answers, unless the group has changed again.
func (d *Daemon) publishPrimary(group string, c failover.Changed) {
	if c.Stages == (failover.Stages{}) {
		return
	}
	r := consul.Record{Term: c.Term, Primary: c.Primary}
	d.startTask(func() error {
		for range maxPublishAttempts {
			err := d.platform.Publish(d.ctx, group, r)
			d.config.Log.Info("primary published", "group", group, "term", c.Term, "member", c.Primary, "error", err)
			if p, ok := d.router.knownPrimary(group); err == nil || ok && p != c.Primary || d.ctx.Err() != nil {
				return nil
			}
			sleep(d.ctx, publishRetryDelay)
		}
		return nil
	})
}

// restorePrimary takes the published primary of a group as a hint of whom to ask first
// while this daemon knows none.
func (d *Daemon) restorePrimary(x context.Context, group string) {
	if _, ok := d.router.knownPrimary(group); ok {
		return
	}
	r, err := d.platform.Published(x, group)
	d.config.Log.Debug("published primary", "group", group, "term", r.Term, "member", r.Primary, "error", err)
	if err == nil && r.Primary != "" {
		d.router.observeView(group, failover.View{Term: r.Term, Primary: r.Primary})
	}
}
