package daemon

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/failover"
)

// Limits of retries to publish the record of a primary.
const (
	// publishRetryDelay is the delay after a failed attempt.
	publishRetryDelay = 5 * time.Second
	// maxPublishAttempts is the maximum number of attempts.
	maxPublishAttempts = 60
)

// publishPrimary writes a new primary to the platform if this daemon promoted
// it. It retries until the platform answers, the group has changed again, or
// all attempts have failed.
func (d *Daemon) publishPrimary(group string, c failover.PrimaryChanged) {
	if c.Stages == (failover.Stages{}) {
		return
	}
	r := consul.PrimaryRecord{Term: c.Term, Primary: c.Primary}
	d.startTask(func() error {
		for range maxPublishAttempts {
			err := d.platform.PublishPrimary(d.ctx, group, r)
			d.config.Log.Info("publish primary", "group", group, "term", c.Term, "member", c.Primary, "error", err)
			if p, ok := d.router.knownPrimary(group); err == nil || ok && p != c.Primary || d.ctx.Err() != nil {
				return nil
			}
			sleep(d.ctx, publishRetryDelay)
		}
		return nil
	})
}

// restorePrimary reads the published primary of a group, as a hint which member
// to query first while the routing table has no primary.
func (d *Daemon) restorePrimary(x context.Context, group string) {
	if _, ok := d.router.knownPrimary(group); ok {
		return
	}
	r, err := d.platform.PublishedPrimary(x, group)
	d.config.Log.Debug("read published primary", "group", group, "term", r.Term, "member", r.Primary, "error", err)
	if err == nil && r.Primary != "" {
		d.router.observeView(group, failover.View{Term: r.Term, Primary: r.Primary})
	}
}
