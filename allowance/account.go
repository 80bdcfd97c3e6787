package allowance

import (
	"slices"
	"time"
)

// loan is a number of tokens that a borrower may use until it expires.
type loan struct {
	host  string
	call  uint64
	count int
	until time.Time
}

// account is the account of one team.
type account struct {
	limit Limit
	// stock is the number of tokens that may be lent. It is negative while promised
	// tokens haven't been minted.
	stock float64
	// mintedAt is the time up to which tokens have been minted.
	mintedAt time.Time
	// loans are sorted by when they expire; outstanding is the sum of their tokens.
	loans       []loan
	outstanding int
	// movedUntil is until when another accountant may lend to the team because the
	// groups have changed; zero if none may.
	movedUntil time.Time
	// nextReturn is when the next refused caller may come back.
	nextReturn time.Time
	// usedAt is when the account was last used.
	usedAt time.Time
}

// advance mints tokens up to now and lets loans expire. Both happen in the order of
// time, since outstanding tokens hold up minting.
func (a *account) advance(b Bounds, t *tenure, now time.Time) {
	for a.mintedAt.Before(now) {
		m, end := t.modeAt(a.mintedAt, now)
		if a.mintedAt.Before(a.movedUntil) {
			if m != Closed {
				m = Pending
			}
			end = earlier(end, a.movedUntil)
		}
		if len(a.loans) > 0 && a.loans[0].until.After(a.mintedAt) {
			end = earlier(end, a.loans[0].until)
		}
		x := b.terms(m, a.limit)
		a.mint(x, x.rate*end.Sub(a.mintedAt).Seconds())
		a.mintedAt = end
		a.expire()
	}
}

// mint adds tokens as far as the terms allow, and drops what exceeds them.
func (a *account) mint(x terms, n float64) {
	a.stock = min(a.stock+n, x.most-float64(a.outstanding))
}

// expire drops the loans that have expired.
func (a *account) expire() {
	n := 0
	for n < len(a.loans) && !a.loans[n].until.After(a.mintedAt) {
		a.outstanding -= a.loans[n].count
		n++
	}
	a.loans = slices.Delete(a.loans, 0, n)
}

// lend moves tokens from the stock to a loan.
func (a *account) lend(l loan) {
	a.stock -= float64(l.count)
	a.addLoan(l)
}

func (a *account) addLoan(l loan) {
	i, _ := slices.BinarySearchFunc(a.loans, l.until, func(l loan, t time.Time) int { return l.until.Compare(t) })
	a.loans = slices.Insert(a.loans, i, l)
	a.outstanding += l.count
}

// settle ends the loan of some tokens. Those of a loan that has expired have been
// counted already.
func (a *account) settle(host string, s Settled) int {
	i := slices.IndexFunc(a.loans, func(l loan) bool { return l.host == host && l.call == s.Call })
	if i < 0 || s.Count <= 0 {
		return 0
	}
	n := min(s.Count, a.loans[i].count)
	a.loans[i].count -= n
	a.outstanding -= n
	if a.loans[i].count == 0 {
		a.loans = slices.Delete(a.loans, i, i+1)
	}
	return n
}

// promise lends up to n tokens that will be minted within the given time, and returns
// how many, and when the first one is.
func (a *account) promise(x terms, most float64, n int, within time.Duration) (int, time.Duration) {
	if x.rate <= 0 {
		return 0, 0
	}
	k := 0
	for k < n && a.stock-float64(k+1) >= -most && a.stock+float64(a.outstanding+k+1) <= x.most && a.mintDelay(x, k+1) <= within {
		k++
	}
	if k == 0 {
		return 0, 0
	}
	return k, a.mintDelay(x, 1)
}

// mintDelay returns when the n-th further token is minted.
func (a *account) mintDelay(x terms, n int) time.Duration {
	return max(seconds((float64(n)-a.stock)/x.rate), 0)
}

// retryAfter returns when the first of n refused callers may come back. Each gets its
// own time, at the team's rate.
func (a *account) retryAfter(x terms, n int, now time.Time) time.Duration {
	if x.rate <= 0 {
		return MaxRetryAfter
	}
	d := min(a.mintDelay(x, 1), MaxRetryAfter)
	if t := now.Add(d); a.nextReturn.Before(t) {
		a.nextReturn = t
	}
	o := a.nextReturn.Sub(now)
	a.nextReturn = earlier(a.nextReturn.Add(seconds(float64(n)/x.rate)), now.Add(MaxRetryAfter))
	return o
}

// full reports whether the account is as good as a new one.
func (a *account) full(b Bounds) bool {
	return a.outstanding == 0 && a.stock >= b.terms(Full, a.limit).most && a.movedUntil.IsZero()
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
