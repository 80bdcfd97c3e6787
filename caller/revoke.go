package caller

import (
	"slices"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// RevokeSessions closes the sessions that the bundle in force no longer allows,
// each as soon as its transaction has ended. It returns their number.
func (s *Server) RevokeSessions() int {
	b := s.config.Bundle()
	if b == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := 0
	for _, n := range s.sessions {
		if isAllowed(b, n.caller, n.group) {
			continue
		}
		k++
		n.mu.Lock()
		n.revoked = true
		n.mu.Unlock()
		n.closeWhenIdle()
	}
	return k
}

func isAllowed(b *bundle.Bundle, name, group string) bool {
	c, ok := b.Caller(name)
	return ok && slices.Contains(c.Groups, group)
}
