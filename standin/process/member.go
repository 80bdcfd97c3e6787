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
	// Process is nil if the member runs within this process (Config.Embedded).
	*Process
	Name  string
	Group string
	// Address is the address that the member listens on.
	Address string
	// AdvertisedAddress is the address that daemons and replicas connect to: the
	// relay's, or Address without relays.
	AdvertisedAddress string
	// FaultAddress is the member's HTTP address for setting faults; empty if the
	// member runs within this process.
	FaultAddress string
	// Relay forwards connections to the member; nil without relays.
	Relay *relay.Relay
}

// startMembers starts the members of all groups.
func (s *System) startMembers() error {
	x, stop := context.WithCancel(context.Background())
	s.embedded, s.stopEmbedded = &errgroup.Group{}, stop
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
				first = m.AdvertisedAddress
			}
		}
	}
	return nil
}

// startMember starts a member and its relay. The member replicates from primary
// if that is not empty.
func (s *System) startMember(x context.Context, m *Member, primary string) error {
	var err error
	if m.Address, err = s.ports.FreeAddress(); err != nil {
		return err
	}
	if m.Relay, m.AdvertisedAddress, err = s.startRelay(m.Address); err != nil {
		return err
	}
	if s.Config.Embedded {
		err = s.startEmbedded(x, m, primary)
	} else {
		err = s.startProcess(m, primary)
	}
	if err != nil {
		stopRelay(m.Relay)
		return err
	}
	s.Members = append(s.Members, m)
	return nil
}

// startEmbedded runs a member within this process until the context ends.
func (s *System) startEmbedded(x context.Context, m *Member, primary string) error {
	c := s.Config
	d, err := database.New(database.Config{
		Listen: m.Address, Password: BackendPassword, Primary: primary, Slots: c.Slots, MaxConnections: c.Connections,
		StatementCost: c.StatementCost, ConnectCost: c.ConnectCost,
	})
	if err != nil {
		return err
	}
	s.embedded.Go(func() error { return d.Run(x) })
	return nil
}

// startProcess runs a member as a separate process.
func (s *System) startProcess(m *Member, primary string) error {
	var err error
	if m.FaultAddress, err = s.ports.FreeAddress(); err != nil {
		return err
	}
	a := []string{
		"database", "--listen", m.Address, "--fault-listen", m.FaultAddress, "--password", BackendPassword,
		"--statement-cost", s.Config.StatementCost.String(), "--connect-cost", s.Config.ConnectCost.String(),
		"--slots", strconv.Itoa(s.Config.Slots), "--connections", strconv.Itoa(s.Config.Connections),
	}
	if primary != "" {
		a = append(a, "--primary", primary)
	}
	m.Process, err = s.starter.Start(s.Config.Dir, m.Name, s.Config.Programs.Standin, nil, a...)
	return err
}

// bundleGroups returns all groups and their members for the bundle.
func (s *System) bundleGroups() []bundle.Group {
	var o []bundle.Group
	for i, m := range s.Members {
		if i%s.Config.Members == 0 {
			o = append(o, bundle.Group{Name: m.Group})
		}
		g := &o[len(o)-1]
		g.Members = append(g.Members, bundle.Member{
			Name: m.Name, Address: m.AdvertisedAddress, Region: region, FailureDomain: failureDomain(len(g.Members)),
			Slots: s.Config.Slots, Connections: s.Config.Connections,
		})
	}
	return o
}
