package process

import (
	"context"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/standin/database"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// Member is a member of a group.
type Member struct {
	// Process is nil if the member is embedded.
	*Process
	Name  string
	Group string
	// Address is the member's own address.
	Address string
	// Front is the address that all others use.
	Front string
	// Fault is the address for switching faults; empty if it is embedded.
	Fault string
	// Relay stands between the member and all others; nil without relays.
	Relay *relay.Relay
}

// startMembers starts the members of all groups.
func (s *System) startMembers() error {
	x, stop := context.WithCancel(context.Background())
	s.g, s.stop = &errgroup.Group{}, stop
	for i := range s.Config.Groups {
		n := Group
		if i > 0 {
			n += strconv.Itoa(i + 1)
		}
		first := ""
		for k := range s.Config.Members {
			m := &Member{Name: n + "-" + strconv.Itoa(k+1), Group: n}
			if err := s.startMember(x, m, first); err != nil {
				return err
			}
			if first == "" {
				first = m.Front
			}
		}
	}
	return nil
}

// startMember starts a member that replicates from primary, if that is set.
func (s *System) startMember(x context.Context, m *Member, primary string) error {
	var err error
	if m.Address, err = s.ports.take(); err != nil {
		return err
	}
	if m.Relay, m.Front, err = s.front(m.Address); err != nil {
		return err
	}
	if s.Config.Embedded {
		err = s.embed(x, m, primary)
	} else {
		err = s.spawn(m, primary)
	}
	if err != nil {
		stopRelay(m.Relay)
		return err
	}
	s.Members = append(s.Members, m)
	return nil
}

// embed runs a member within this process.
func (s *System) embed(x context.Context, m *Member, primary string) error {
	c := s.Config
	d, err := database.New(database.Config{
		Listen: m.Address, Password: BackendPassword, Primary: primary, Slots: c.Slots, MaxConnections: c.Connections,
		StatementCost: c.StatementCost, ConnectCost: c.ConnectCost,
	})
	if err != nil {
		return err
	}
	s.g.Go(func() error { return d.Run(x) })
	return nil
}

// spawn runs a member as a process.
func (s *System) spawn(m *Member, primary string) error {
	var err error
	if m.Fault, err = s.ports.take(); err != nil {
		return err
	}
	a := []string{
		"database", "--listen", m.Address, "--fault-listen", m.Fault, "--password", BackendPassword,
		"--statement-cost", s.Config.StatementCost.String(), "--connect-cost", s.Config.ConnectCost.String(),
		"--slots", strconv.Itoa(s.Config.Slots), "--connections", strconv.Itoa(s.Config.Connections),
	}
	if primary != "" {
		a = append(a, "--primary", primary)
	}
	m.Process, err = s.s.start(s.Config.Dir, m.Name, s.Config.Programs.Standin, nil, a...)
	return err
}

// groups returns the groups of the bundle.
func (s *System) groups() []bundle.Group {
	var o []bundle.Group
	for i, m := range s.Members {
		if i%s.Config.Members == 0 {
			o = append(o, bundle.Group{Name: m.Group})
		}
		g := &o[len(o)-1]
		g.Members = append(g.Members, bundle.Member{
			Name: m.Name, Address: m.Front, Region: region, FailureDomain: domain(len(g.Members)),
			Slots: s.Config.Slots, Connections: s.Config.Connections,
		})
	}
	return o
}
