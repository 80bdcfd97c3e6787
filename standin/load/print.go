package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// Print writes the report as text.
func (r *Report) Print(o io.Writer) {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "rank\toffered\tdone\trefused\tin doubt\tfailed\tp50\tp99\tmax\t")
	for _, k := range r.Ranks {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", k.Rank, k.Offered, k.Done, k.Refused+k.Shed, k.InDoubt, k.Failed, formatDuration(k.P50), formatDuration(k.P99), formatDuration(k.Max))
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(o, "seed %d, %.1f s; replica share %.3f; region bytes %d; longest gap between orders %s\n", r.Seed, r.Elapsed, r.ReplicaShare, r.RegionBytes, formatDuration(r.WriteGap))
	_, _ = fmt.Fprintf(o, "orders %d: lost %d, doubled %d, wrongly \"not run\" %d; stale reads %d\n", r.Orders, r.Lost, r.Doubled, r.WronglyRefused, r.Stale)
	l := make([]string, 0, len(r.Codes))
	for c := range r.Codes {
		l = append(l, c)
	}
	sort.Strings(l)
	for _, c := range l {
		_, _ = fmt.Fprintf(o, "  %6d  %s\n", r.Codes[c], c)
	}
}

func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
