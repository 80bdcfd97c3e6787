package pool_test

import (
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// Guards against statements on the empty log of a member that tells so only when a
// connection is opened.
var _ = It("the empty log of a member is told before a statement is sent on the new connection", func() {
	m := &member{limit: 10}
	var told []logpos.Position
	p := pool.New(pool.Config{
		Member: catalog.Member{ID: "m", Slots: 3}, Connections: 10, Dialer: m, Now: time.Now, Log: hclog.NewNullLogger(),
		ObservePosition: func(p logpos.Position, _ time.Time) { told = append(told, p) },
	})
	o := p.Execute(GinkgoT().Context(), request("a", "a", query.Single, query.ActionRead), logpos.Position{}, func() *query.Failure {
		Expect(told).To(Equal([]logpos.Position{{}}))
		return nil
	})
	Expect(o.Failure).To(BeNil())
})
