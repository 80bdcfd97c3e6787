package process

import (
	"io"
)

// Primary returns the member of Group that the daemons report as primary in the
// highest term, and that term.
func (s *System) Primary() (*Member, uint64, error) {
	name, term := "", uint64(0)
	for _, d := range s.Daemons {
		if d.Ended() {
			continue
		}
		o, err := d.Status()
		if err != nil {
			return nil, 0, err
		}
		for _, g := range o.Groups {
			if g.Name == Group && g.Term > term && g.Primary != "" {
				name, term = g.Primary, g.Term
			}
		}
	}
	for _, m := range s.Members {
		if m.Name == name {
			return m, term, nil
		}
	}
	return nil, 0, Error.Wrap(&NotFoundError{What: "primary"})
}

// Owner returns the daemon that owns a member, according to the first daemon.
func (s *System) Owner(m *Member) (*Daemon, error) {
	o, err := s.Daemons[0].Status()
	if err != nil {
		return nil, err
	}
	for _, g := range o.Groups {
		for _, y := range g.Members {
			if y.Name != m.Name {
				continue
			}
			for _, d := range s.Daemons {
				if d.Name == y.Owner {
					return d, nil
				}
			}
		}
	}
	return nil, Error.Wrap(&NotFoundError{What: "owner of " + m.Name})
}

// WriteLogTails writes the last part of each log.
func (s *System) WriteLogTails(w io.Writer) { _, _ = io.WriteString(w, s.logTails()) }

// NotFoundError reports a member or daemon that the daemons' status doesn't name.
type NotFoundError struct{ What string }

func (e *NotFoundError) Error() string { return "not found in the status of the daemons: " + e.What }
