// Package measure measures a system on loopback: the latency that the proxy adds to
// a statement, a daemon's throughput, memory and CPU use, and for how long writes
// stop during a failover. Package propagation measures how fast bundles take effect.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/load"
	"github.com/dragonflypick/dragonflypick/standin/process"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin measure")

// Bounds of the latency histograms.
const (
	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(time.Minute)
	latencyDigits = 3
)

// ticksPerSecond is the number of clock ticks per second (USER_HZ), the unit of CPU
// times in /proc.
const ticksPerSecond = 100

// connectTimeout is the maximum time for connecting a session.
const connectTimeout = 10 * time.Second

// Latency summarizes the latencies of one operation.
type Latency struct {
	Name  string        `json:"name"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50-ns"`
	P99   time.Duration `json:"p99-ns"`
	Max   time.Duration `json:"max-ns"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minLatency), maxLatency))
}

func newLatency(name string, h *hdrhistogram.Histogram) Latency {
	return Latency{
		Name: name, Count: h.TotalCount(), P50: time.Duration(h.ValueAtQuantile(50)),
		P99: time.Duration(h.ValueAtQuantile(99)), Max: time.Duration(h.Max()),
	}
}

// dial connects to an address within connectTimeout.
func dial(x context.Context, address, user, password string) (*pgx.Conn, error) {
	x, stop := context.WithTimeout(x, connectTimeout)
	defer stop()
	c, err := load.Dial(x, load.Config{User: user, Password: password, Group: process.Group}, address, nil)
	return c, Error.Wrap(err)
}

// dialDaemon connects to a daemon as a caller.
func dialDaemon(x context.Context, address string) (*pgx.Conn, error) {
	return dial(x, address, cluster.CallerName, cluster.CallerPassword)
}

// dialMember connects directly to a member, as a daemon does.
func dialMember(x context.Context, address string) (*pgx.Conn, error) {
	return dial(x, address, "dragonflypick", process.BackendPassword)
}

// cpuTime returns the CPU time that a process has used so far, user and system.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	l := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(l) < minStatFields {
		return 0, Error.Wrap(&FormatError{File: "stat"})
	}
	u, _ := strconv.ParseInt(l[11], 10, 64)
	s, _ := strconv.ParseInt(l[12], 10, 64)
	return time.Duration(u+s) * time.Second / ticksPerSecond, nil
}

// minStatFields is the number of fields that cpuTime needs after the process's name in
// /proc/PID/stat; the last two are user and system time.
const minStatFields = 13

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) == 3 && f[0] == "VmRSS:" {
			k, err := strconv.ParseInt(f[1], 10, 64)
			return k << 10, Error.Wrap(err)
		}
	}
	return 0, Error.Wrap(&FormatError{File: "status"})
}

// FormatError reports a file of a process in /proc with an unexpected format.
type FormatError struct{ File string }

func (e *FormatError) Error() string { return e.File + " in /proc has an unexpected format" }

// printTable prints rows with aligned columns; the first row holds the headings.
func printTable(o io.Writer, rows [][]string) {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t")+"\t")
	}
	_ = w.Flush()
}

func formatDuration(d time.Duration) string { return d.Round(time.Microsecond).String() }

func printLatencies(o io.Writer, l []Latency) {
	t := [][]string{{"operation", "count", "p50", "p99", "max"}}
	for _, y := range l {
		t = append(t, []string{y.Name, strconv.FormatInt(y.Count, 10), formatDuration(y.P50), formatDuration(y.P99), formatDuration(y.Max)})
	}
	printTable(o, t)
}
