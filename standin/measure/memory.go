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

// settleTime is the pause before a process's memory is read.
const settleTime = 3 * time.Second

// MemoryConfig holds the settings of Memory.
type MemoryConfig struct {
	Process process.Config
	// Callers are the numbers of idle callers.
	Callers []int
}

// MemoryPoint is the memory of a daemon with a number of idle callers.
type MemoryPoint struct {
	Callers int `json:"callers"`
	// Resident is the resident memory in bytes.
	Resident int64 `json:"resident-bytes"`
	// Cores is the processor time a second while the callers are idle.
	Cores float64 `json:"cores"`
}

// MemoryReport tells what idle callers cost.
type MemoryReport struct {
	Points []MemoryPoint `json:"points"`
	// PerCaller is the slope in bytes.
	PerCaller float64 `json:"bytes-per-caller"`
}

// Memory logs idle callers in to one daemon; each has run one statement.
func Memory(x context.Context, c MemoryConfig) (MemoryReport, error) {
	var o MemoryReport
	for _, n := range c.Callers {
		if n < 0 || n > maxSessions {
			return o, Error.Wrap(&LimitError{What: "callers", Value: n, Max: maxSessions})
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
	defer func() { closeAll(l) }()
	sort.Ints(c.Callers)
	for _, n := range c.Callers {
		m, err := connect(n-len(l), func() (*pgx.Conn, error) { return idle(x, d.Address) })
		l = append(l, m...)
		if err != nil {
			return o, err
		}
		p, err := idlePoint(n, d.PID())
		if err != nil {
			return o, err
		}
		o.Points = append(o.Points, p)
	}
	o.PerCaller = slope(o.Points)
	return o, nil
}

// idle logs a caller in that has run one statement.
func idle(x context.Context, address string) (*pgx.Conn, error) {
	c, err := dialDaemon(x, address)
	if err != nil {
		return nil, err
	}
	return c, one(x, c, true, 0)
}

// idlePoint reads a daemon's memory and processor time while nothing is asked.
func idlePoint(n, pid int) (MemoryPoint, error) {
	p := MemoryPoint{Callers: n}
	time.Sleep(settleTime)
	b, err := processorTime(pid)
	if err != nil {
		return p, err
	}
	time.Sleep(settleTime)
	e, err := processorTime(pid)
	if err != nil {
		return p, err
	}
	p.Cores = (e - b).Seconds() / settleTime.Seconds()
	p.Resident, err = residentBytes(pid)
	return p, err
}

// slope returns the bytes per caller by least squares.
func slope(l []MemoryPoint) float64 {
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
	table(o, t)
	_, _ = io.WriteString(o, "bytes per idle caller: "+strconv.FormatFloat(r.PerCaller, 'f', 0, 64)+"\n")
}

// LimitError reports a setting beyond its limit.
type LimitError struct {
	What       string
	Value, Max int
}

func (e *LimitError) Error() string {
	return e.What + " must be from 0 to " + strconv.Itoa(e.Max) + ", not " + strconv.Itoa(e.Value)
}
