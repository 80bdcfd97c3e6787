package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Bounds of the latency histograms.
const (
	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(2 * time.Minute)
	latencyDigits = 3
)

// rankRecord holds the counts of one rank.
type rankRecord struct {
	offered, shed, done, refused, inDoubt, failed int64
	latency                                       *hdrhistogram.Histogram
}

func newRecorder(c Config) *recorder {
	r := &recorder{c: c, codes: map[string]int64{}, begun: time.Now()}
	for i := range r.ranks {
		r.ranks[i] = &rankRecord{latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
	}
	return r
}

func (r *recorder) offered(k bundle.Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranks[k].offered++
}

func (r *recorder) shed(k bundle.Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranks[k].shed++
}

func (r *recorder) staleRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale++
}

func (r *recorder) ended(k bundle.Rank, o outcome, code string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.ranks[k]
	switch o {
	case done:
		x.done++
		_ = x.latency.RecordValue(min(max(int64(d), minLatency), maxLatency))
	case refused:
		x.refused++
	case inDoubt:
		x.inDoubt++
	default:
		x.failed++
	}
	if code != "" {
		r.codes[code]++
	}
}

func (r *recorder) ordered(o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// compare counts the orders whose outcome isn't what the database holds.
func (r *recorder) compare(held map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.doubled, r.wronglyRefused = 0, 0, 0
	for _, o := range r.orders {
		n := held[o.id]
		if n > 1 {
			r.doubled++
		}
		if o.outcome == done && n == 0 {
			r.lost++
		}
		if (o.outcome == refused || o.outcome == failed) && n > 0 {
			r.wronglyRefused++
		}
	}
}

// RankReport is what happened to one rank.
type RankReport struct {
	Rank    string `json:"rank"`
	Offered int64  `json:"offered"`
	// Shed are operations that found no free session.
	Shed    int64         `json:"shed"`
	Done    int64         `json:"done"`
	Refused int64         `json:"refused"`
	InDoubt int64         `json:"in-doubt"`
	Failed  int64         `json:"failed"`
	P50     time.Duration `json:"p50-ns"`
	P99     time.Duration `json:"p99-ns"`
	Max     time.Duration `json:"max-ns"`
}

// Report is what a run has shown.
type Report struct {
	Seed    uint64       `json:"seed"`
	Elapsed float64      `json:"elapsed-seconds"`
	Ranks   []RankReport `json:"ranks"`
	// ReplicaShare is the share of reads that replicas served; -1 if unknown.
	ReplicaShare float64 `json:"replica-share"`
	// RegionBytes are the bytes between regions; -1 if unknown.
	RegionBytes int64 `json:"region-bytes"`
	// WriteGap is the longest time between two acknowledged orders.
	WriteGap time.Duration `json:"write-gap-ns"`
	// WriteGapEnd is when that time ended.
	WriteGapEnd time.Time `json:"write-gap-end"`
	// Orders counts the orders, Lost the acknowledged ones that are missing,
	// Doubled those that stand twice, WronglyRefused those that stand although
	// the caller was told that they were not run.
	Orders         int64 `json:"orders"`
	Lost           int64 `json:"lost"`
	Doubled        int64 `json:"doubled"`
	WronglyRefused int64 `json:"wrongly-refused"`
	// Stale counts reads that missed an order of their session.
	Stale int64 `json:"stale"`
	// Codes counts the failures by SQLSTATE and message.
	Codes map[string]int64 `json:"codes"`
}

// HasViolations reports whether a promise was broken.
func (r *Report) HasViolations() bool { return r.Lost+r.Doubled+r.WronglyRefused+r.Stale > 0 }

func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := Report{
		Seed: r.c.Seed, Elapsed: time.Since(r.begun).Seconds(), ReplicaShare: -1, RegionBytes: -1, Orders: int64(len(r.orders)),
		Lost: r.lost, Doubled: r.doubled, WronglyRefused: r.wronglyRefused, Stale: r.stale, Codes: map[string]int64{},
	}
	for k, v := range r.codes {
		o.Codes[k] = v
	}
	for i, x := range r.ranks {
		o.Ranks = append(o.Ranks, RankReport{
			Rank: bundle.Rank(i).String(), Offered: x.offered, Shed: x.shed, Done: x.done, Refused: x.refused,
			InDoubt: x.inDoubt, Failed: x.failed, P50: time.Duration(x.latency.ValueAtQuantile(50)),
			P99: time.Duration(x.latency.ValueAtQuantile(99)), Max: time.Duration(x.latency.Max()),
		})
	}
	o.WriteGap, o.WriteGapEnd = gap(r.orders)
	return o
}

// gap returns the longest time between two acknowledged orders, and its end.
func gap(l []order) (time.Duration, time.Time) {
	var t []time.Time
	for _, o := range l {
		if o.outcome == done {
			t = append(t, o.ended)
		}
	}
	sort.Slice(t, func(i, j int) bool { return t[i].Before(t[j]) })
	var g time.Duration
	var e time.Time
	for i := 1; i < len(t); i++ {
		if d := t[i].Sub(t[i-1]); d > g {
			g, e = d, t[i]
		}
	}
	return g, e
}

// counters are what daemons count.
type counters struct {
	known                 bool
	replica, all, regions float64
}

// Names of the daemons' metrics.
const (
	metricReads  = "dragonflypick_reads_total"
	metricRegion = "dragonflypick_region_bytes_total"
)

// scrapeTimeout bounds reading one daemon's metrics.
const scrapeTimeout = 2 * time.Second

func scrape(x context.Context, admins []string) counters {
	var c counters
	for _, a := range admins {
		if b, err := fetch(x, "http://"+a+"/metrics"); err == nil {
			c.known = true
			c.add(b)
		}
	}
	return c
}

func fetch(x context.Context, u string) (string, error) {
	x, stop := context.WithTimeout(x, scrapeTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(x, http.MethodGet, u, nil)
	if err != nil {
		return "", Error.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), Error.Wrap(err)
}

func (c *counters) add(text string) {
	s := bufio.NewScanner(strings.NewReader(text))
	for s.Scan() {
		l := s.Text()
		i := strings.LastIndexByte(l, ' ')
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(l[i+1:], 64)
		if err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(l, metricReads) && strings.Contains(l, `role="replica"`):
			c.replica += v
			c.all += v
		case strings.HasPrefix(l, metricReads):
			c.all += v
		case strings.HasPrefix(l, metricRegion):
			c.regions += v
		}
	}
}

// traffic adds what the daemons counted during the run.
func (r *Report) traffic(before, after counters) {
	if !after.known {
		return
	}
	r.RegionBytes = int64(after.regions - before.regions)
	if n := after.all - before.all; n > 0 {
		r.ReplicaShare = (after.replica - before.replica) / n
	}
}
