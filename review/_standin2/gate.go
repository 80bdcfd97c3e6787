package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gate stands on the path from one machine to the promotion service.
type gate struct {
	name     string
	target   string
	record   *record
	listener net.Listener
	platform *platformView

	mu sync.Mutex
	// held is called with the first call while the path is cut; nil if it isn't.
	held func()
	// healed is closed when the path carries bytes again.
	healed chan struct{}
}

// platformView is what the platform has seen of promotions, in their order.
type platformView struct {
	mu    sync.Mutex
	calls []promotion
	// promoted is called with the member of each promotion that the service gets.
	promoted func(member string)
}

// promotion is a call that has reached the platform.
type promotion struct {
	at            time.Time
	holder, token string
}

func newGate(name, target string, v *platformView, r *record) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{name: name, target: target, record: r, listener: l, platform: v, healed: make(chan struct{})}
	close(g.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.forward(c)
		}
	}()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

// cut holds the bytes to the platform back until heal is called. held is called with the
// first call that is held.
func (g *gate) cut(held func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held, g.healed = held, make(chan struct{})
}

// heal ends the cut.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = nil
	select {
	case <-g.healed:
	default:
		close(g.healed)
	}
}

// forward passes one call on, also when its sender has gone: the bytes that it has sent
// are on their way.
func (g *gate) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var b struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &b)
	p := promotion{holder: q.Header.Get("Dragonflypick-Duty-Holder"), token: q.Header.Get("Dragonflypick-Fencing-Token")}
	g.record.note("%s sends POST /promotion, token %s, %s", g.name, p.token, body)
	g.mu.Lock()
	held, healed := g.held, g.healed
	g.held = nil
	g.mu.Unlock()
	if held != nil {
		held()
	}
	<-healed
	d, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	g.platform.mu.Lock()
	p.at = time.Now()
	g.platform.calls = append(g.platform.calls, p)
	g.platform.mu.Unlock()
	g.record.note("the platform gets POST /promotion of %s, token %s, %s", p.holder, p.token, body)
	n, err := http.NewRequest(q.Method, "http://"+g.target+q.URL.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	n.Header = q.Header
	n.Close = true
	if err := n.Write(d); err != nil {
		return
	}
	g.platform.promoted(b.ID)
	_, _ = io.Copy(c, d)
}
