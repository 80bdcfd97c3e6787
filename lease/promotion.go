package lease

import "time"

// MayRequestPromotion reports whether the host may request a promotion: its lease was confirmed
// so recently that a later holder knows when it requests none any more.
func (s *Lease) MayRequestPromotion(now time.Time) bool {
	return s.MayReplacePrimary(now) && now.Before(s.ConfirmedAt().Add(PromotionValidity))
}

// EarlierCallsUntil returns until when a call by which an earlier holder requested a promotion
// may be carried out. The host is the holder.
func (s *Lease) EarlierCallsUntil() time.Time {
	t := s.mayPromoteUntil
	for h := range s.unfinishedUntil {
		t = latest(t, s.promotesUntil(h))
	}
	return t.Add(PromotionCallTime)
}

// promotesUntil returns until when a previous holder may request a promotion, unless it ends
// sooner; zero if it isn't known as one that may still act.
func (s *Lease) promotesUntil(id string) time.Time {
	if _, ok := s.unfinishedUntil[id]; !ok {
		return time.Time{}
	}
	return s.displacedAt[id].Add(PromotionValidity)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
