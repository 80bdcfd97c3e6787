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
	k := &checker{pathByName: map[string]string{}}
	k.checkBundle(b)
	if len(k.faults) > 0 {
		return Error.Wrap(&ContentError{Faults: k.faults})
	}
	return nil
}

// checker collects the faults of a bundle.
type checker struct {
	faults []Fault
	// pathByName maps a kind and name to the path of the name's first use.
	pathByName map[string]string
}

func (k *checker) addFault(path, reason string) {
	k.faults = append(k.faults, Fault{Path: path, Reason: reason})
}

// checkName checks the form of a name, and that it is unique among names of its
// kind.
func (k *checker) checkName(kind, n, path string) {
	if n == "" || strings.ContainsAny(n, " \t\n/\"'") {
		k.addFault(path, "must be a name without spaces, quotes or slashes")
		return
	}
	if p, ok := k.pathByName[kind+" "+n]; ok {
		k.addFault(path, kind+" "+strconv.Quote(n)+" is already used at "+p)
		return
	}
	k.pathByName[kind+" "+n] = path
}

func (k *checker) checkBundle(b *Bundle) {
	if b.Version == 0 {
		k.addFault("version", "must be 1 or more")
	}
	if len(b.Groups) == 0 {
		k.addFault("groups", "must name at least one database group")
	}
	for i := range b.Groups {
		k.checkGroup(&b.Groups[i], "groups["+strconv.Itoa(i)+"]")
	}
	k.checkRanks(&b.Ranks)
	for i, c := range b.ReadClasses {
		p := "read-classes[" + strconv.Itoa(i) + "]"
		k.checkName("read class", c.Name, p+".name")
		if c.Age <= 0 {
			k.addFault(p+".age", "must be above zero")
		}
	}
	for i := range b.Callers {
		k.checkCaller(b, &b.Callers[i], "callers["+strconv.Itoa(i)+"]")
	}
	if b.Limits.Callers <= 0 {
		k.addFault("limits.callers", "must be above zero")
	}
	if b.Limits.StatementBytes <= 0 {
		k.addFault("limits.statement-bytes", "must be above zero")
	}
	if b.Limits.Tolerance < 0 {
		k.addFault("limits.tolerance", "must not be below zero")
	}
	if b.Limits.ReplicaAge <= 0 {
		k.addFault("limits.replica-age", "must be above zero")
	}
}

func (k *checker) checkGroup(g *Group, path string) {
	k.checkName("group", g.Name, path+".name")
	if len(g.Members) == 0 {
		k.addFault(path+".members", "must name at least one backend server")
	}
	for i := range g.Members {
		k.checkMember(&g.Members[i], path+".members["+strconv.Itoa(i)+"]")
	}
}

func (k *checker) checkMember(m *Member, path string) {
	k.checkName("member", m.Name, path+".name")
	k.checkAddress(m.Address, path+".address")
	if m.Region == "" {
		k.addFault(path+".region", "must be set")
	}
	if m.FailureDomain == "" {
		k.addFault(path+".failure-domain", "must be set")
	}
	if m.Slots <= 0 {
		k.addFault(path+".slots", "must be above zero")
	}
	if m.Connections < m.Slots+ControlConnections {
		k.addFault(path+".connections", "must be at least "+strconv.Itoa(m.Slots+ControlConnections)+": slots and "+
			strconv.Itoa(ControlConnections)+" for control")
	}
}

func (k *checker) checkAddress(a, path string) {
	h, _, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(h) == nil {
		k.addFault(path, "must be an IP address with a port")
		return
	}
	k.checkName("address", a, path)
}

func (k *checker) checkRanks(r *Ranks) {
	s := 0.0
	for i := range RankCount {
		l := r.Of(Rank(i))
		p := "ranks." + Rank(i).String()
		if time.Duration(l.Deadline) <= 0 {
			k.addFault(p+".deadline", "must be above zero")
		}
		if time.Duration(l.IdleInTransaction) <= 0 {
			k.addFault(p+".idle-in-transaction", "must be above zero")
		}
		if l.Share < 0 || l.Share > 1 {
			k.addFault(p+".share", "must be from 0 to 1")
		}
		if l.Worth < 0 {
			k.addFault(p+".worth", "must not be below zero")
		}
		s += l.Share
	}
	if s > 1+shareSlack {
		k.addFault("ranks", "the shares sum to "+strconv.FormatFloat(s, 'g', 4, 64)+", over 1")
	}
}

func (k *checker) checkCaller(b *Bundle, c *Caller, path string) {
	k.checkName("caller", c.Name, path+".name")
	if _, err := ParseVerifier(c.Scram); err != nil {
		k.addFault(path+".scram", "must be a SCRAM-SHA-256 verifier")
	}
	if _, ok := ParseRank(c.Rank); !ok {
		k.addFault(path+".rank", "must be urgent, routine or background")
	}
	if len(c.Groups) == 0 {
		k.addFault(path+".groups", "must name at least one database group")
	}
	n := map[string]bool{}
	for i, g := range c.Groups {
		if n[g] {
			k.addFault(path+".groups["+strconv.Itoa(i)+"]", "group "+strconv.Quote(g)+" is listed twice")
		}
		n[g] = true
		if _, ok := b.Group(g); !ok {
			k.addFault(path+".groups["+strconv.Itoa(i)+"]", "group "+strconv.Quote(g)+" does not exist")
		}
	}
}
