package pool_test

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// idleMember says after each step that no transaction is open. It records the steps.
type idleMember struct{ steps []query.Step }

func (m *idleMember) Dial(context.Context, catalog.Member, string) (pool.Conn, logpos.Position, error) {
	return m, logpos.Position{}, nil
}

func (m *idleMember) RunStep(s query.Step, _ time.Time) (query.Reply, error) {
	m.steps = append(m.steps, s)
	return query.Reply{State: query.Idle, Signature: "s"}, nil
}

func (m *idleMember) Close() {}

var _ = It("runs no statement of a transaction outside of it when the member says that none is open", func() {
	m := &idleMember{}
	p := pool.New(pool.Config{
		Member: catalog.Member{ID: "m", Slots: 3}, Connections: 10, Dialer: m, Now: time.Now,
		ObservePosition: func(logpos.Position, time.Time) {}, Log: hclog.NewNullLogger(),
	})
	r := request("a", "WRITE a x", query.First, query.ActionWrite)
	r.Values = nil
	Expect(run(p, r).Failure).NotTo(BeNil())
	for _, s := range m.steps {
		Expect(s).NotTo(BeAssignableToTypeOf(query.RunStatement{}))
	}
})
