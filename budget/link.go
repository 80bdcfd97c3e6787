package budget

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// LinkConfig holds the limits of answers that are sent between regions.
type LinkConfig struct {
	// Rate is the entry's fraction of the region link, in bytes per second.
	Rate float64
	// MaxFractions are the fractions of Rate that each rank's reads may use. Zero
	// means no bound.
	MaxFractions [bundle.RankCount]float64
	// Burst is the time over which unused bytes accumulate.
	Burst time.Duration
}

// DefaultLink returns the limits of one entry, for a region link of rate bytes
// per second that is shared by the given number of entries.
func DefaultLink(rate float64, entries int) LinkConfig {
	return LinkConfig{
		Rate: rate / float64(max(entries, 1)), Burst: time.Second,
		MaxFractions: [bundle.RankCount]float64{bundle.Routine: 0.5, bundle.Background: 0.1},
	}
}

// Sizes of answers.
const (
	// initialSize is the mean size in bytes assumed before the first answer.
	initialSize = 4096
	// sizeWeight is the weight of the newest answer in the mean size.
	sizeWeight = 0.1
)

// Link is a token bucket of bytes for the lower ranks' reads on the link between
// regions, so that they leave capacity for urgent reads. The mean size of an
// answer is reserved when its request is sent, and replaced by the actual size
// when the answer has been received. This can make the budget negative; no
// request is then sent until it has refilled. Link is not safe for concurrent
// use.
type Link struct {
	config  LinkConfig
	buckets [bundle.RankCount]bucket
	// sizes are the mean sizes of each rank's answers in bytes.
	sizes [bundle.RankCount]float64
}

// NewLink returns a Link with full buckets.
func NewLink(c LinkConfig) *Link {
	l := &Link{config: c}
	for i := range l.buckets {
		l.buckets[i].tokens, l.sizes[i] = l.burst(bundle.Rank(i)), initialSize
	}
	return l
}

func (l *Link) rate(r bundle.Rank) float64 { return l.config.Rate * l.config.MaxFractions[r] }

func (l *Link) burst(r bundle.Rank) float64 { return l.rate(r) * l.config.Burst.Seconds() }

// Reserve takes the mean size of an answer from a rank's budget and returns it.
// If the budget is used up, it returns false and the retry-after interval.
func (l *Link) Reserve(r bundle.Rank, now time.Time) (int, time.Duration, bool) {
	if l.config.MaxFractions[r] <= 0 {
		return 0, 0, true
	}
	b := &l.buckets[r]
	l.refill(r, now)
	if b.tokens <= 0 {
		d := time.Duration((l.sizes[r] - b.tokens) / l.rate(r) * float64(time.Second))
		return 0, d, false
	}
	n := int(l.sizes[r])
	b.tokens -= float64(n)
	return n, 0, true
}

// Reconcile replaces a reservation by the number of bytes that were transferred.
func (l *Link) Reconcile(r bundle.Rank, reserved, bytes int, now time.Time) {
	if l.config.MaxFractions[r] <= 0 {
		return
	}
	l.refill(r, now)
	b := &l.buckets[r]
	b.tokens = min(b.tokens+float64(reserved-bytes), l.burst(r))
	if bytes > 0 {
		l.sizes[r] += sizeWeight * (float64(bytes) - l.sizes[r])
	}
}

func (l *Link) refill(r bundle.Rank, now time.Time) {
	b := &l.buckets[r]
	if !b.updated.IsZero() {
		b.tokens = min(b.tokens+l.rate(r)*max(now.Sub(b.updated), 0).Seconds(), l.burst(r))
	}
	b.updated = now
}
