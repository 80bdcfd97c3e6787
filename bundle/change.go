package bundle

import "strconv"

// CheckMemberChange reports, in one *ContentError, every database group in which next
// adds or removes more than one member in total. With one change at a time, each
// majority of the old members shares a member with each majority of the new ones.
// So no acknowledged write and no fence can be missed, even while some daemons
// have the old version in force and others the new one.
func CheckMemberChange(old, next *Bundle) error {
	var f []Fault
	for i := range next.Groups {
		g := &next.Groups[i]
		o, ok := old.Group(g.Name)
		if !ok {
			continue
		}
		added, removed := countMissing(g, o), countMissing(o, g)
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

// countMissing counts the members of a that are not in b. A member whose address
// changed counts as another member.
func countMissing(a, b *Group) int {
	n := 0
	for _, m := range a.Members {
		if !hasMember(b, m) {
			n++
		}
	}
	return n
}

func hasMember(g *Group, m Member) bool {
	for _, x := range g.Members {
		if x.Name == m.Name && x.Address == m.Address {
			return true
		}
	}
	return false
}
