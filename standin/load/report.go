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

// rankRecord holds the counts and latencies of one rank.
type rankRecord struct {
	offered, shed, done, refused, inDoubt, failed int64
	latency                                       *hdrhistogram.Histogram
}

func newRecorder(c Config) *recorder {
	r := &recorder{config: c, codes: map[string]int64{}, started: time.Now()}
	for i := range r.ranks {
		r.ranks[i] = &rankRecord{latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
	}
	return r
}

func (r *recorder) countOffered(k bundle.Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranks[k].offered++
}

func (r *recorder) countShed(k bundle.Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranks[k].shed++
}

func (r *recorder) countStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale++
}

func (r *recorder) recordOutcome(k bundle.Rank, o outcome, code string, d time.Duration) {
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

func (r *recorder) recordOrder(o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// compareOrders counts the orders whose outcome differs from the stored rows; stored
// holds the number of rows for each order id.
func (r *recorder) compareOrders(stored map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.doubled, r.wronglyRefused = 0, 0, 0
	for _, o := range r.orders {
		n := stored[o.id]
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

// RankReport holds the results of one rank.
type RankReport struct {
	Rank    string `json:"rank"`
	Offered int64  `json:"offered"`
	// Shed counts operations that were dropped because maxInFlight others of the
	// rank were waiting for a session.
	Shed    int64         `json:"shed"`
	Done    int64         `json:"done"`
	Refused int64         `json:"refused"`
	InDoubt int64         `json:"in-doubt"`
	Failed  int64         `json:"failed"`
	P50     time.Duration `json:"p50-ns"`
	P99     time.Duration `json:"p99-ns"`
	Max     time.Duration `json:"max-ns"`
}

// Report holds the results of a run.
type Report struct {
	Seed    uint64       `json:"seed"`
	Elapsed float64      `json:"elapsed-seconds"`
	Ranks   []RankReport `json:"ranks"`
	// ReplicaShare is the share of reads that replicas served; -1 if unknown.
	ReplicaShare float64 `json:"replica-share"`
	// RegionBytes is the number of bytes sent between regions; -1 if unknown.
	RegionBytes int64 `json:"region-bytes"`
	// WriteGap is the longest time between two consecutive acknowledged orders.
	WriteGap time.Duration `json:"write-gap-ns"`
	// WriteGapEnd is the end of that time.
	WriteGapEnd time.Time `json:"write-gap-end"`
	// Orders counts all orders, Lost the acknowledged ones that are missing in the
	// database, Doubled those that are stored more than once, and WronglyRefused
	// those that are stored although they were refused or failed.
	Orders         int64 `json:"orders"`
	Lost           int64 `json:"lost"`
	Doubled        int64 `json:"doubled"`
	WronglyRefused int64 `json:"wrongly-refused"`
	// Stale counts look-ups that didn't return the session's last acknowledged
	// order.
	Stale int64 `json:"stale"`
	// Codes counts the failures by SQLSTATE and message, or by the text of a connection
	// failure.
	Codes map[string]int64 `json:"codes"`
}

// HasViolations reports whether a guarantee was violated.
func (r *Report) HasViolations() bool { return r.Lost+r.Doubled+r.WronglyRefused+r.Stale > 0 }

func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := Report{
		Seed: r.config.Seed, Elapsed: time.Since(r.started).Seconds(), ReplicaShare: -1, RegionBytes: -1, Orders: int64(len(r.orders)),
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
	o.WriteGap, o.WriteGapEnd = longestGap(r.orders)
	return o
}

// longestGap returns the longest time between two consecutive acknowledged orders,
// and its end.
func longestGap(l []order) (time.Duration, time.Time) {
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

// counters holds sums of the daemons' metrics.
type counters struct {
	// available is true if the metrics of at least one daemon were read.
	available                           bool
	replicaReads, allReads, regionBytes float64
}

// Names of the daemons' metrics.
const (
	metricReads  = "dragonflypick_reads_total"
	metricRegion = "dragonflypick_region_bytes_total"
)

// scrapeTimeout is the maximum time for reading one daemon's metrics.
const scrapeTimeout = 2 * time.Second

// scrapeMetrics sums up the metrics of the daemons at these admin addresses, without
// those that fail to answer.
func scrapeMetrics(x context.Context, admins []string) counters {
	var c counters
	for _, a := range admins {
		if b, err := fetchText(x, "http://"+a+"/metrics"); err == nil {
			c.available = true
			c.addMetrics(b)
		}
	}
	return c
}

func fetchText(x context.Context, u string) (string, error) {
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

func (c *counters) addMetrics(text string) {
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
			c.replicaReads += v
			c.allReads += v
		case strings.HasPrefix(l, metricReads):
			c.allReads += v
		case strings.HasPrefix(l, metricRegion):
			c.regionBytes += v
		}
	}
}

// setTraffic sets the fields that are computed from the daemons' metrics before and
// after the run.
func (r *Report) setTraffic(before, after counters) {
	if !after.available {
		return
	}
	r.RegionBytes = int64(after.regionBytes - before.regionBytes)
	if n := after.allReads - before.allReads; n > 0 {
		r.ReplicaShare = (after.replicaReads - before.replicaReads) / n
	}
}
