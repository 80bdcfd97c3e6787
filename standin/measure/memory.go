package measure

import (
	"context"
	"io"
	"sort"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/dragonflypick/dragonflypick/standin/process"
)

// idleTime is the wait between connecting callers and measuring, and also the time
// over which CPU time is measured.
const idleTime = 3 * time.Second

// MemoryConfig holds the settings of Memory.
type MemoryConfig struct {
	Process process.Config
	// Callers are the numbers of idle callers.
	Callers []int
}

// MemoryPoint is the memory and CPU use of a daemon with a number of idle callers.
type MemoryPoint struct {
	Callers int `json:"callers"`
	// Resident is the resident memory in bytes.
	Resident int64 `json:"resident-bytes"`
	// Cores is the CPU time per second while the callers are idle.
	Cores float64 `json:"cores"`
}

// MemoryReport holds the cost of idle callers.
type MemoryReport struct {
	Points []MemoryPoint `json:"points"`
	// BytesPerCaller is the increase of resident memory for each idle caller.
	BytesPerCaller float64 `json:"bytes-per-caller"`
}

// Memory measures one daemon with different numbers of idle callers, each of which
// has run one statement.
func Memory(x context.Context, c MemoryConfig) (MemoryReport, error) {
	var o MemoryReport
	for _, n := range c.Callers {
		if n < 0 || n > maxCallers {
			return o, Error.Wrap(&LimitError{What: "callers", Value: n, Max: maxCallers})
		}
	}
	c.Process.Daemons = 1
	s, err := process.Start(x, c.Process)
	if err != nil {
		return o, err
	}
	defer s.Stop()
	d := s.Daemons[0]
	var l []*pgx.Conn
	defer func() { closeSessions(l) }()
	sort.Ints(c.Callers)
	for _, n := range c.Callers {
		m, err := openSessions(n-len(l), func() (*pgx.Conn, error) { return dialIdle(x, d.CallerAddress) })
		l = append(l, m...)
		if err != nil {
			return o, err
		}
		p, err := measureIdle(n, d.PID())
		if err != nil {
			return o, err
		}
		o.Points = append(o.Points, p)
	}
	o.BytesPerCaller = bytesPerCaller(o.Points)
	return o, nil
}

// dialIdle connects a caller to a daemon and runs one statement.
func dialIdle(x context.Context, address string) (*pgx.Conn, error) {
	c, err := dialDaemon(x, address)
	if err != nil {
		return nil, err
	}
	return c, runStatement(x, c, true, 0)
}

// measureIdle measures a daemon's memory and CPU use while no statement runs.
func measureIdle(n, pid int) (MemoryPoint, error) {
	p := MemoryPoint{Callers: n}
	time.Sleep(idleTime)
	b, err := cpuTime(pid)
	if err != nil {
		return p, err
	}
	time.Sleep(idleTime)
	e, err := cpuTime(pid)
	if err != nil {
		return p, err
	}
	p.Cores = (e - b).Seconds() / idleTime.Seconds()
	p.Resident, err = residentBytes(pid)
	return p, err
}

// bytesPerCaller returns the slope of resident memory over callers, by least
// squares; zero if all points have the same number of callers.
func bytesPerCaller(l []MemoryPoint) float64 {
	var x, y, xx, xy float64
	for _, p := range l {
		a, b := float64(p.Callers), float64(p.Resident)
		x, y, xx, xy = x+a, y+b, xx+a*a, xy+a*b
	}
	n := float64(len(l))
	if d := n*xx - x*x; d != 0 {
		return (n*xy - x*y) / d
	}
	return 0
}

// Print writes the report as text.
func (r *MemoryReport) Print(o io.Writer) {
	t := [][]string{{"idle callers", "resident MB", "cores"}}
	for _, p := range r.Points {
		t = append(t, []string{
			strconv.Itoa(p.Callers), strconv.FormatFloat(float64(p.Resident)/(1<<20), 'f', 1, 64),
			strconv.FormatFloat(p.Cores, 'f', 3, 64),
		})
	}
	printTable(o, t)
	_, _ = io.WriteString(o, "bytes per idle caller: "+strconv.FormatFloat(r.BytesPerCaller, 'f', 0, 64)+"\n")
}

// LimitError reports a setting outside its limits.
type LimitError struct {
	What       string
	Value, Max int
}

func (e *LimitError) Error() string {
	return e.What + " must be from 0 to " + strconv.Itoa(e.Max) + ", not " + strconv.Itoa(e.Value)
}
