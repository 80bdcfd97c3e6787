package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Row holds the results of the requests of one rank, or of the flooding caller.
type Row struct {
	Name string `json:"name"`
	// Offered counts the requests. Each is counted once more: as done in time,
	// late, refused, in doubt, or unanswered.
	Offered    int `json:"offered"`
	InTime     int `json:"in-time"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	InDoubt    int `json:"in-doubt"`
	Unanswered int `json:"unanswered"`
	// P50 and P99 are percentiles of the time from arrival to answer.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// SlotTimeShare is the row's fraction of the used slot time.
	SlotTimeShare float64 `json:"share"`
	// MeanRefusedWait is the mean time from arrival to refusal.
	MeanRefusedWait time.Duration `json:"refused-wait"`
	// MaxRefusedWait is the longest time from arrival to refusal.
	MaxRefusedWait time.Duration `json:"refused-max"`
	// WastedSlotTime is the slot time of late answers.
	WastedSlotTime time.Duration `json:"wasted-slot"`
	// Reasons counts refusals by reason.
	Reasons map[string]int `json:"reasons,omitempty"`

	slotTime       time.Duration
	refusedWaitSum time.Duration
	latencies      *hdrhistogram.Histogram
}

// Report is the result of a simulation.
type Report struct {
	Fleet    string   `json:"fleet"`
	Scenario Scenario `json:"scenario"`
	Factor   float64  `json:"factor"`
	Seed     uint64   `json:"seed"`
	Variant  Variant  `json:"variant"`
	// Rows has a row for each rank and, in CallerFlood, one for the flooding
	// caller.
	Rows []Row `json:"rows"`
	// Utilization is the fraction of all slot time that was used.
	Utilization float64 `json:"use"`
	// TolerantReplicaShare and ReplicaShare are the fractions of tolerant reads
	// and of all reads that a replica served.
	TolerantReplicaShare float64 `json:"tolerant-replica-share"`
	ReplicaShare         float64 `json:"replica-share"`
	// RegionBytes counts the bytes on the region link, each way.
	RegionBytes [2]int64 `json:"region-bytes"`
	// MaxLinkWait is the longest wait for the region link.
	MaxLinkWait time.Duration `json:"link-wait"`
	// RequestsSent counts the requests that entries sent, including retries.
	RequestsSent int `json:"sends"`
	// PeakQueue is the largest number of requests that waited at an owner.
	PeakQueue int `json:"peak-queue"`

	reads, replicaReads, tolerantReads, tolerantReplicaReads int
}

// maxLatency is recorded for all longer latencies.
const maxLatency = time.Minute

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
	return Row{Name: n, Reasons: map[string]int{}, latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (r *Report) row(q *request) *Row {
	if q.flooding {
		return &r.Rows[len(r.Rows)-1]
	}
	return &r.Rows[q.rank]
}

func (r *Report) recordOffered(w *simulation, q *request) {
	if w.isReported(q) {
		r.row(q).Offered++
	}
}

// recordSelection records in the request whether a replica was selected for it.
func (r *Report) recordSelection(q *request, replica bool) {
	q.onReplica = replica
}

func (r *Report) recordDone(w *simulation, q *request) {
	if !w.isReported(q) {
		return
	}
	o := r.row(q)
	_ = o.latencies.RecordValue(min(w.now-q.lastArrival, maxLatency).Microseconds())
	if w.now <= q.deadline {
		o.InTime++
	} else {
		o.Late++
		o.WastedSlotTime += q.serviceTime
	}
	if !w.rankLoads[q.rank].write {
		r.reads++
		r.replicaReads += boolToInt(q.onReplica)
		r.tolerantReads += boolToInt(q.tolerant)
		r.tolerantReplicaReads += boolToInt(q.tolerant && q.onReplica)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *Report) recordRefused(w *simulation, q *request, reason string, _ time.Duration) {
	if !w.isReported(q) {
		return
	}
	o := r.row(q)
	o.Refused++
	o.Reasons[reason]++
	d := w.now - q.lastArrival
	o.refusedWaitSum += d
	o.MaxRefusedWait = max(o.MaxRefusedWait, d)
}

func (r *Report) recordInDoubt(w *simulation, q *request) {
	if w.isReported(q) {
		r.row(q).InDoubt++
	}
}

// recordSlotTime adds up slot time within the reported period.
func (r *Report) recordSlotTime(w *simulation, q *request) {
	if w.now >= w.config.WarmUp && w.now < w.config.WarmUp+w.config.Duration {
		r.row(q).slotTime += q.serviceTime
	}
}

func (r *Report) finalize(w *simulation) {
	var all time.Duration
	for i := range r.Rows {
		all += r.Rows[i].slotTime
	}
	for i := range r.Rows {
		o := &r.Rows[i]
		o.Unanswered = o.Offered - o.InTime - o.Late - o.Refused - o.InDoubt
		o.P50 = time.Duration(o.latencies.ValueAtQuantile(50)) * time.Microsecond
		o.P99 = time.Duration(o.latencies.ValueAtQuantile(99)) * time.Microsecond
		o.SlotTimeShare = float64(o.slotTime) / float64(max(all, 1))
		o.MeanRefusedWait = o.refusedWaitSum / time.Duration(max(o.Refused, 1))
	}
	slots := len(w.servers) * w.config.Fleet.Slots
	r.Utilization = all.Seconds() / (float64(slots) * w.config.Duration.Seconds())
	r.ReplicaShare = float64(r.replicaReads) / float64(max(r.reads, 1))
	r.TolerantReplicaShare = float64(r.tolerantReplicaReads) / float64(max(r.tolerantReads, 1))
}

// Print writes the report as a table in Markdown.
func (r *Report) Print(o io.Writer) {
	_, _ = fmt.Fprintf(o, "%s, %s x%g, seed %d, variant %s\n\n", r.Fleet, r.Scenario, r.Factor, r.Seed, r.Variant)
	_, _ = fmt.Fprintln(o, "| work | offered | in time | late | refused | in doubt | p50 ms | p99 ms | slot share | mean ms to refusal | max ms to refusal | wasted slot ms |")
	_, _ = fmt.Fprintln(o, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range r.Rows {
		x := &r.Rows[i]
		_, _ = fmt.Fprintf(o, "| %s | %d | %d (%.2f%%) | %d | %d | %d | %.1f | %.1f | %.3f | %.1f | %.1f | %.0f |\n",
			x.Name, x.Offered, x.InTime, 100*float64(x.InTime)/float64(max(x.Offered, 1)), x.Late, x.Refused, x.InDoubt+x.Unanswered,
			milliseconds(x.P50), milliseconds(x.P99), x.SlotTimeShare, milliseconds(x.MeanRefusedWait), milliseconds(x.MaxRefusedWait), milliseconds(x.WastedSlotTime))
	}
	_, _ = fmt.Fprintf(o, "\nslots in use %.3f, replica share %.3f (tolerant %.3f), region bytes %d out %d back, longest link wait %.1f ms, sends %d, peak queue %d\n",
		r.Utilization, r.ReplicaShare, r.TolerantReplicaShare, r.RegionBytes[0], r.RegionBytes[1], milliseconds(r.MaxLinkWait), r.RequestsSent, r.PeakQueue)
	for i := range r.Rows {
		if len(r.Rows[i].Reasons) > 0 {
			_, _ = fmt.Fprintf(o, "%s refused: %v\n", r.Rows[i].Name, r.Rows[i].Reasons)
		}
	}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
