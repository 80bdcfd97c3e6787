package process

import (
	"context"
	"crypto/rand"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
)

// pushFirstBundle builds the first bundle, with one caller and all groups, and
// pushes it.
func (s *System) pushFirstBundle(x context.Context) error {
	b := cluster.NewBundle()
	b.Limits.Callers = s.Config.Callers
	if d := bundle.Duration(s.Config.Deadline); d > 0 {
		b.Ranks.Urgent.Deadline, b.Ranks.Routine.Deadline, b.Ranks.Background.Deadline = d, d, d
	}
	salt := make([]byte, 16)
	_, _ = rand.Read(salt)
	v, err := bundle.NewVerifier(cluster.CallerName, cluster.CallerPassword, salt)
	if err != nil {
		return err
	}
	b.Callers = []bundle.Caller{{Name: cluster.CallerName, Scram: v, Rank: "routine", Groups: []string{Group}}}
	b.Groups = s.bundleGroups()
	s.bundle = b
	return s.pushBundle(x)
}

// MarkDraining pushes a bundle of the next version in which the member is marked
// as draining.
func (s *System) MarkDraining(x context.Context, m *Member) error {
	s.bundle.Version++
	for i := range s.bundle.Groups {
		l := s.bundle.Groups[i].Members
		for k := range l {
			l[k].Draining = l[k].Draining || l[k].Name == m.Name
		}
	}
	return s.pushBundle(x)
}

// pushBundle signs the bundle and tries to push it until the platform accepts it.
func (s *System) pushBundle(x context.Context) error {
	e, err := bundle.Sign(x, s.bundle, s.authorKey, s.approverKey)
	if err != nil {
		return err
	}
	c := consul.New(consul.Config{Address: s.platformAddress})
	return s.waitUntil(x, func() bool {
		_, err := consul.Push(x, c, e, bundle.Trust{Authors: []*bundle.Key{s.authorKey}, Approvers: []*bundle.Key{s.approverKey}})
		return err == nil
	})
}
