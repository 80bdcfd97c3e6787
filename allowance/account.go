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

// peak is a sum of stock and outstanding tokens.
type peak struct {
	at  time.Time
	sum float64
}

// peakInterval is the time within which peaks are kept as one.
const peakInterval = 100 * time.Millisecond

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
	// peaks are the highest sums of stock and outstanding tokens in the last window,
	// each the highest since its time. They are sorted by time.
	peaks []peak
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
		a.mint(b, b.terms(m, a.limit), end)
		a.expire()
	}
}

// mint adds the tokens up to a time as far as the terms allow, and drops what exceeds
// them.
func (a *account) mint(b Bounds, x terms, end time.Time) {
	d, p := end.Sub(a.mintedAt).Seconds(), a.peak(b)
	n := x.rate(p, b.Window) * d
	if s := min(a.sum()+n, x.most); s > p {
		n = min(n, x.rate(s, b.Window)*d)
	}
	a.mintedAt = end
	a.clamp(x, a.stock+n)
	a.recordPeak(a.sum())
}

// clamp sets the stock, as far as the terms allow.
func (a *account) clamp(x terms, stock float64) {
	a.stock = min(stock, x.most-float64(a.outstanding))
}

// sum returns the number of tokens that may be used from now on without being minted.
func (a *account) sum() float64 { return a.stock + float64(a.outstanding) }

// peak returns the highest sum in the last window.
func (a *account) peak(b Bounds) float64 {
	for len(a.peaks) > 0 && a.peaks[0].at.Before(a.mintedAt.Add(-b.Window)) {
		a.peaks = a.peaks[1:]
	}
	if len(a.peaks) == 0 {
		return a.sum()
	}
	return max(a.peaks[0].sum, a.sum())
}

// recordPeak notes a sum as of mintedAt.
func (a *account) recordPeak(s float64) {
	n := len(a.peaks)
	for n > 0 && a.peaks[n-1].sum <= s {
		n--
	}
	a.peaks = a.peaks[:n]
	if n > 0 && a.mintedAt.Sub(a.peaks[n-1].at) < peakInterval {
		a.peaks[n-1].at = a.mintedAt
		return
	}
	a.peaks = append(a.peaks, peak{at: a.mintedAt, sum: s})
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

// promise returns how many of n tokens will be minted within a time and may be lent now,
// and when the first one is minted. most is the number of tokens that may be owed.
func (a *account) promise(x terms, rate, most float64, n int, within time.Duration) (int, time.Duration) {
	if rate <= 0 {
		return 0, 0
	}
	k := 0
	for k < n && a.stock-float64(k+1) >= -most && a.sum()+float64(k+1) <= x.most && a.mintDelay(rate, k+1) <= within {
		k++
	}
	if k == 0 {
		return 0, 0
	}
	return k, a.mintDelay(rate, 1)
}

// mintDelay returns when the n-th further token is minted.
func (a *account) mintDelay(rate float64, n int) time.Duration {
	return max(seconds((float64(n)-a.stock)/rate), 0)
}

// retryAfter returns when the first of n refused callers may come back. Each gets its
// own time, at the rate of minting, unless there are too many of them.
func (a *account) retryAfter(rate float64, n int, now time.Time) time.Duration {
	if rate <= 0 {
		return MaxRetryAfter
	}
	d := min(a.mintDelay(rate, 1), MaxRetryAfter)
	if t := now.Add(d); a.nextReturn.Before(t) {
		a.nextReturn = t
	}
	o := a.nextReturn.Sub(now)
	a.nextReturn = now.Add(BoundRetryAfter(o + seconds(float64(n)/rate)))
	return max(o, time.Millisecond)
}

// BoundRetryAfter bounds the time after which a caller may come back to MaxRetryAfter.
// Longer times are spread over the second half of that.
func BoundRetryAfter(d time.Duration) time.Duration {
	if d <= MaxRetryAfter {
		return d
	}
	return MaxRetryAfter/2 + d%(MaxRetryAfter/2)
}

// full reports whether the account is as good as a new one.
func (a *account) full(b Bounds) bool {
	return a.outstanding == 0 && a.stock >= b.terms(Full, a.limit).most && !a.mintedAt.Before(a.movedUntil)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
