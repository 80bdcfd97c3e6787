package bundle

import (
	"net"
	"strconv"
	"strings"
	"time"
)

// shareSlack is how far the sum of shares may exceed 1 due to rounding.
const shareSlack = 1e-9

// Check reports all faults of the content in one *ContentError.
func Check(b *Bundle) error {
	k := &checker{names: map[string]string{}}
	k.bundle(b)
	if len(k.faults) > 0 {
		return Error.Wrap(&ContentError{Faults: k.faults})
	}
	return nil
}

// checker collects the faults of a bundle.
type checker struct {
	faults []Fault
	// names maps a kind and name to the path where the name is used.
	names map[string]string
}

func (k *checker) add(path, reason string) {
	k.faults = append(k.faults, Fault{Path: path, Reason: reason})
}

// name checks the form of a name and that it is unique among names of its kind.
func (k *checker) name(kind, n, path string) {
	if n == "" || strings.ContainsAny(n, " \t\n/\"'") {
		k.add(path, "must be a name without spaces, quotes or slashes")
		return
	}
	if p, ok := k.names[kind+" "+n]; ok {
		k.add(path, kind+" "+strconv.Quote(n)+" is already used at "+p)
		return
	}
	k.names[kind+" "+n] = path
}

func (k *checker) bundle(b *Bundle) {
	if b.Version == 0 {
		k.add("version", "must be 1 or more")
	}
	if len(b.Groups) == 0 {
		k.add("groups", "must name at least one database group")
	}
	for i := range b.Groups {
		k.group(&b.Groups[i], "groups["+strconv.Itoa(i)+"]")
	}
	k.ranks(&b.Ranks)
	for i, c := range b.ReadClasses {
		p := "read-classes[" + strconv.Itoa(i) + "]"
		k.name("read class", c.Name, p+".name")
		if c.Age <= 0 {
			k.add(p+".age", "must be above zero")
		}
	}
	for i := range b.Callers {
		k.caller(b, &b.Callers[i], "callers["+strconv.Itoa(i)+"]")
	}
	if b.Limits.Callers <= 0 {
		k.add("limits.callers", "must be above zero")
	}
	if b.Limits.StatementBytes <= 0 {
		k.add("limits.statement-bytes", "must be above zero")
	}
	if b.Limits.Tolerance < 0 {
		k.add("limits.tolerance", "must not be below zero")
	}
	if b.Limits.ReplicaAge <= 0 {
		k.add("limits.replica-age", "must be above zero")
	}
}

func (k *checker) group(g *Group, path string) {
	k.name("group", g.Name, path+".name")
	if len(g.Members) == 0 {
		k.add(path+".members", "must name at least one backend server")
	}
	for i := range g.Members {
		k.member(&g.Members[i], path+".members["+strconv.Itoa(i)+"]")
	}
}

func (k *checker) member(m *Member, path string) {
	k.name("member", m.Name, path+".name")
	k.address(m.Address, path+".address")
	if m.Region == "" {
		k.add(path+".region", "must be set")
	}
	if m.FailureDomain == "" {
		k.add(path+".failure-domain", "must be set")
	}
	if m.Slots <= 0 {
		k.add(path+".slots", "must be above zero")
	}
	if m.Connections < m.Slots+ControlConnections {
		k.add(path+".connections", "must be at least "+strconv.Itoa(m.Slots+ControlConnections)+": slots and "+
			strconv.Itoa(ControlConnections)+" for control")
	}
}

func (k *checker) address(a, path string) {
	h, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(h) == nil {
		k.add(path, "must be an IP address with a port")
		return
	}
	k.name("address", a, path)
}

func (k *checker) ranks(r *Ranks) {
	s := 0.0
	for i := range RankCount {
		l := r.Of(Rank(i))
		p := "ranks." + Rank(i).String()
		if time.Duration(l.Deadline) <= 0 {
			k.add(p+".deadline", "must be above zero")
		}
		if time.Duration(l.IdleInTransaction) <= 0 {
			k.add(p+".idle-in-transaction", "must be above zero")
		}
		if l.Share < 0 || l.Share > 1 {
			k.add(p+".share", "must be from 0 to 1")
		}
		if l.Worth < 0 {
			k.add(p+".worth", "must not be below zero")
		}
		s += l.Share
	}
	if s > 1+shareSlack {
		k.add("ranks", "the shares sum to "+strconv.FormatFloat(s, 'g', 4, 64)+", over 1")
	}
}

func (k *checker) caller(b *Bundle, c *Caller, path string) {
	k.name("caller", c.Name, path+".name")
	if _, err := ParseVerifier(c.Scram); err != nil {
		k.add(path+".scram", "must be a SCRAM-SHA-256 verifier")
	}
	if _, ok := ParseRank(c.Rank); !ok {
		k.add(path+".rank", "must be urgent, routine or background")
	}
	if len(c.Groups) == 0 {
		k.add(path+".groups", "must name at least one database group")
	}
	n := map[string]bool{}
	for i, g := range c.Groups {
		if n[g] {
			k.add(path+".groups["+strconv.Itoa(i)+"]", "group "+strconv.Quote(g)+" is listed twice")
		}
		n[g] = true
		if _, ok := b.Group(g); !ok {
			k.add(path+".groups["+strconv.Itoa(i)+"]", "group "+strconv.Quote(g)+" does not exist")
		}
	}
}
