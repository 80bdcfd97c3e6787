package bundle

import "strconv"

// CheckMemberChange reports every database group of which a bundle replaces more than
// one member at a time, as a *ContentError. With one at a time each majority
// of the members before shares a member with each majority after, so that
// neither an acknowledged write nor a fence can be missed; daemons may have
// either version in force.
func CheckMemberChange(old, next *Bundle) error {
	var f []Fault
	for i := range next.Groups {
		g := &next.Groups[i]
		o, ok := old.Group(g.Name)
		if !ok {
			continue
		}
		added, removed := missing(g, o), missing(o, g)
		if added+removed > 1 {
			f = append(f, Fault{
				Path: "groups[" + strconv.Itoa(i) + "].members",
				Reason: "adds " + strconv.Itoa(added) + " and removes " + strconv.Itoa(removed) +
					" members; change one at a time, each with a bundle of its own",
			})
		}
	}
	if len(f) > 0 {
		return Error.Wrap(&ContentError{Faults: f})
	}
	return nil
}

// missing counts the members of a that b doesn't have. A member at another
// address is another member.
func missing(a, b *Group) int {
	n := 0
	for _, m := range a.Members {
		if !has(b, m) {
			n++
		}
	}
	return n
}

func has(g *Group, m Member) bool {
	for _, x := range g.Members {
		if x.Name == m.Name && x.Address == m.Address {
			return true
		}
	}
	return false
}
