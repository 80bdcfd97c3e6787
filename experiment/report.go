package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Row is what one kind of work received.
type Row struct {
	Name string `json:"name"`
	// Offered counts the requests; each is done in time, late, refused, in
	// doubt, or unanswered.
	Offered    int `json:"offered"`
	InTime     int `json:"in-time"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Doubt      int `json:"in-doubt"`
	Unanswered int `json:"unanswered"`
	// P50 and P99 are times from arrival to answer of what was done.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// Share is the share of the slot time in use.
	Share float64 `json:"share"`
	// RefusedWait is the mean time from arrival to refusal.
	RefusedWait time.Duration `json:"refused-wait"`
	// RefusedMax is the longest time from arrival to refusal.
	RefusedMax time.Duration `json:"refused-max"`
	// WastedSlot is slot time of answers that came late.
	WastedSlot time.Duration `json:"wasted-slot"`
	// Reasons counts refusals by reason.
	Reasons map[string]int `json:"reasons,omitempty"`

	slot   time.Duration
	waited time.Duration
	times  *hdrhistogram.Histogram
}

// Report is the outcome of an experiment.
type Report struct {
	Fleet    string   `json:"fleet"`
	Scenario Scenario `json:"scenario"`
	Factor   float64  `json:"factor"`
	Seed     uint64   `json:"seed"`
	Variant  Variant  `json:"variant"`
	// Rows are the ranks, and the flooding caller's work last.
	Rows []Row `json:"rows"`
	// Use is the share of all slots that was in use.
	Use float64 `json:"use"`
	// TolerantReplica and ReplicaShare are the shares of tolerant reads and of
	// all reads that a replica served.
	TolerantReplica float64 `json:"tolerant-replica-share"`
	ReplicaShare    float64 `json:"replica-share"`
	// RegionBytes are the bytes on the region link, each way.
	RegionBytes [2]int64 `json:"region-bytes"`
	// LinkWait is the longest wait for the region link.
	LinkWait time.Duration `json:"link-wait"`
	// Sends counts the requests that entries sent, with repeats.
	Sends int `json:"sends"`
	// PeakQueue is the greatest number of requests that waited at an owner.
	PeakQueue int `json:"peak-queue"`

	reads, replica, tolerant, tolerantReplica int
}

// maxTime bounds the recorded times.
const maxTime = time.Minute

func newReport(c Config) *Report {
	r := &Report{Fleet: c.Fleet.Name, Scenario: c.Scenario, Factor: c.Factor, Seed: c.Seed, Variant: c.Variant}
	for k := range bundle.Rank(bundle.RankCount) {
		r.Rows = append(r.Rows, newRow(k.String()))
	}
	if c.Scenario == CallerFlood {
		r.Rows = append(r.Rows, newRow("flooder"))
	}
	return r
}

func newRow(n string) Row {
	return Row{Name: n, Reasons: map[string]int{}, times: hdrhistogram.New(1, maxTime.Microseconds(), 3)}
}

func (r *Report) row(q *request) *Row {
	if q.flood {
		return &r.Rows[len(r.Rows)-1]
	}
	return &r.Rows[q.rank]
}

func (r *Report) offered(w *world, q *request) {
	if w.counts(q) {
		r.row(q).Offered++
	}
}

// member counts the choice of a server for a read.
func (r *Report) member(q *request, replica bool) {
	q.replica = replica
}

func (r *Report) done(w *world, q *request) {
	if !w.counts(q) {
		return
	}
	o := r.row(q)
	_ = o.times.RecordValue(min(w.now-q.arrived, maxTime).Microseconds())
	if w.now <= q.deadline {
		o.InTime++
	} else {
		o.Late++
		o.WastedSlot += q.service
	}
	if !w.classes[q.rank].write {
		r.reads++
		r.replica += count(q.replica)
		r.tolerant += count(q.tolerant)
		r.tolerantReplica += count(q.tolerant && q.replica)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *Report) refused(w *world, q *request, why string, _ time.Duration) {
	if !w.counts(q) {
		return
	}
	o := r.row(q)
	o.Refused++
	o.Reasons[why]++
	d := w.now - q.arrived
	o.waited += d
	o.RefusedMax = max(o.RefusedMax, d)
}

func (r *Report) doubt(w *world, q *request) {
	if w.counts(q) {
		r.row(q).Doubt++
	}
}

// slot counts slot time within the reported window.
func (r *Report) slot(w *world, q *request) {
	if w.now >= w.c.Warm && w.now < w.c.Warm+w.c.Duration {
		r.row(q).slot += q.service
	}
}

func (r *Report) close(w *world) {
	var all time.Duration
	for i := range r.Rows {
		all += r.Rows[i].slot
	}
	for i := range r.Rows {
		o := &r.Rows[i]
		o.Unanswered = o.Offered - o.InTime - o.Late - o.Refused - o.Doubt
		o.P50 = time.Duration(o.times.ValueAtQuantile(50)) * time.Microsecond
		o.P99 = time.Duration(o.times.ValueAtQuantile(99)) * time.Microsecond
		o.Share = float64(o.slot) / float64(max(all, 1))
		o.RefusedWait = o.waited / time.Duration(max(o.Refused, 1))
	}
	slots := len(w.servers) * w.c.Fleet.Slots
	r.Use = all.Seconds() / (float64(slots) * w.c.Duration.Seconds())
	r.ReplicaShare = float64(r.replica) / float64(max(r.reads, 1))
	r.TolerantReplica = float64(r.tolerantReplica) / float64(max(r.tolerant, 1))
}

// Print writes the report as a table in Markdown.
func (r *Report) Print(o io.Writer) {
	_, _ = fmt.Fprintf(o, "%s, %s x%g, seed %d, variant %s\n\n", r.Fleet, r.Scenario, r.Factor, r.Seed, r.Variant)
	_, _ = fmt.Fprintln(o, "| work | offered | in time | late | refused | in doubt | p50 ms | p99 ms | slot share | mean ms to refusal | max ms to refusal | wasted slot ms |")
	_, _ = fmt.Fprintln(o, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range r.Rows {
		x := &r.Rows[i]
		_, _ = fmt.Fprintf(o, "| %s | %d | %d (%.2f%%) | %d | %d | %d | %.1f | %.1f | %.3f | %.1f | %.1f | %.0f |\n",
			x.Name, x.Offered, x.InTime, 100*float64(x.InTime)/float64(max(x.Offered, 1)), x.Late, x.Refused, x.Doubt+x.Unanswered,
			milliseconds(x.P50), milliseconds(x.P99), x.Share, milliseconds(x.RefusedWait), milliseconds(x.RefusedMax), milliseconds(x.WastedSlot))
	}
	_, _ = fmt.Fprintf(o, "\nslots in use %.3f, replica share %.3f (tolerant %.3f), region bytes %d out %d back, longest link wait %.1f ms, sends %d, peak queue %d\n",
		r.Use, r.ReplicaShare, r.TolerantReplica, r.RegionBytes[0], r.RegionBytes[1], milliseconds(r.LinkWait), r.Sends, r.PeakQueue)
	for i := range r.Rows {
		if len(r.Rows[i].Reasons) > 0 {
			_, _ = fmt.Fprintf(o, "%s refused: %v\n", r.Rows[i].Name, r.Rows[i].Reasons)
		}
	}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
