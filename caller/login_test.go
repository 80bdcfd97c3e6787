package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/peer"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Caller")
}

// unreachableRouter finds no owner for any request.
type unreachableRouter struct{}

func (unreachableRouter) Open(context.Context, Request) (Route, error) {
	return Route{}, &RouteError{Reason: "no-owner", RetryAfter: 70 * time.Millisecond}
}
func (unreachableRouter) Release(Route)                               {}
func (unreachableRouter) RecordVerdict(Request, string, peer.Verdict) {}
func (unreachableRouter) PrimaryPosition(context.Context, string) (logpos.Position, error) {
	return logpos.Position{Term: 3, Offset: 5}, nil
}

func certificate() tls.Certificate {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	b, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{b}, PrivateKey: k}
}

func loginBundle() *bundle.Bundle {
	v, err := bundle.NewVerifier("shop", "amber", []byte("0123456789abcdef"))
	Expect(err).NotTo(HaveOccurred())
	d := bundle.RankLimits{Deadline: bundle.Duration(200 * time.Millisecond)}
	return &bundle.Bundle{
		Version: 1, Groups: []bundle.Group{{Name: "orders"}, {Name: "stock"}},
		Callers: []bundle.Caller{{Name: "shop", Scram: v, Rank: "routine", Groups: []string{"orders"}}},
		Ranks:   bundle.Ranks{Urgent: d, Routine: d, Background: d},
		Limits:  bundle.Limits{Callers: 2, StatementBytes: 1000},
	}
}

// sqlState returns the SQLSTATE of an error.
func sqlState(err error) string {
	var p *pgconn.PgError
	ExpectWithOffset(1, errors.As(err, &p)).To(BeTrue(), "%v", err)
	return p.Code
}

var _ = Describe("login", func() {
	x := context.Background()
	var b *bundle.Bundle
	var s *Server

	start := func(t *tls.Config) {
		var err error
		s, err = New(Config{
			Listen: "127.0.0.1:0", TLS: t, Bundle: func() *bundle.Bundle { return b }, Router: unreachableRouter{}, Log: hclog.NewNullLogger(),
		})
		Expect(err).NotTo(HaveOccurred())
		y, stop := context.WithCancel(x)
		g := &errgroup.Group{}
		g.Go(func() error { return s.Run(y) })
		DeferCleanup(func() {
			stop()
			Expect(g.Wait()).To(Succeed())
		})
	}
	connect := func(group, mode string, settings ...string) (*pgx.Conn, error) {
		c, err := pgx.ParseConfig("postgres://shop:amber@" + s.Address() + "/" + group + "?sslmode=" + mode)
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(settings); i += 2 {
			c.RuntimeParams[settings[i]] = settings[i+1]
		}
		n, err := pgx.ConnectConfig(x, c)
		if err == nil {
			DeferCleanup(func() { _ = n.Close(x) })
		}
		return n, err
	}
	code := sqlState

	BeforeEach(func() { b = loginBundle() })

	It("encrypts when a certificate is set", func() {
		start(&tls.Config{Certificates: []tls.Certificate{certificate()}, MinVersion: tls.VersionTLS12})
		n, err := connect("orders", "require")
		Expect(err).NotTo(HaveOccurred())
		_, ok := n.PgConn().Conn().(*tls.Conn)
		Expect(ok).To(BeTrue())
	})

	It("refuses to encrypt without a certificate", func() {
		start(nil)
		_, err := connect("orders", "require")
		Expect(err).To(MatchError(ContainSubstring("refused TLS")))
	})

	It("refuses every caller while no bundle is in force", func() {
		b = nil
		start(nil)
		_, err := connect("orders", "disable")
		Expect(code(err)).To(Equal(codeCannotConnectNow))
	})

	It("refuses a group that the caller may not use", func() {
		start(nil)
		_, err := connect("stock", "disable")
		Expect(code(err)).To(Equal(codeNotAllowed))
	})

	It("refuses a caller above the limit, and accepts one again after another has disconnected", func() {
		start(nil)
		n, err := connect("orders", "disable")
		Expect(err).NotTo(HaveOccurred())
		_, err = connect("orders", "disable")
		Expect(err).NotTo(HaveOccurred())
		_, err = connect("orders", "disable")
		Expect(code(err)).To(Equal(codeTooManyConnections))
		Expect(n.Close(x)).To(Succeed())
		Eventually(s.SessionCount).WithTimeout(10 * time.Second).Should(Equal(1))
		_, err = connect("orders", "disable")
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("refuses invalid startup settings",
		func(name, value, want string) {
			start(nil)
			_, err := connect("orders", "disable", name, value)
			Expect(code(err)).To(Equal(want))
		},
		Entry("unknown setting", "dragonflypick.nosuch", "1", codeUnknownSetting),
		Entry("invalid rank", "dragonflypick.rank", "first", codeBadSetting),
		Entry("token of another group", "dragonflypick.session", "1:stock:1/1", codeBadSetting),
		Entry("malformed token", "dragonflypick.session", "1:orders:x/1", codeBadSetting),
		Entry("negative tolerance", "dragonflypick.tolerance", "-1s", codeBadSetting),
	)

	It("answers not run with a retry-after hint while no owner is found", func() {
		start(nil)
		n, err := connect("orders", "disable")
		Expect(err).NotTo(HaveOccurred())
		_, err = n.Exec(x, "INSERT INTO t VALUES (1)")
		Expect(code(err)).To(Equal(codeCannotConnectNow))
		Expect(err.(*pgconn.PgError).Hint).To(Equal("retry-after-ms=70"))
	})

	DescribeTable("closes a session that violates the protocol, and no other",
		func(packet []byte) {
			start(nil)
			other, err := connect("orders", "disable")
			Expect(err).NotTo(HaveOccurred())
			n, err := connect("orders", "disable")
			Expect(err).NotTo(HaveOccurred())
			h, err := n.PgConn().Hijack()
			Expect(err).NotTo(HaveOccurred())
			_, err = h.Conn.Write(packet)
			Expect(err).NotTo(HaveOccurred())
			b, err := io.ReadAll(h.Conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(b)).To(ContainSubstring("FATAL"))
			Expect(string(b)).To(ContainSubstring(codeProtocol))
			var t string
			Expect(other.QueryRow(x, "SHOW dragonflypick.rank").Scan(&t)).To(Succeed())
		},
		Entry("unknown message", []byte{'!', 0, 0, 0, 4}),
		Entry("length below its own size", []byte{'Q', 0, 0, 0, 1}),
	)

	It("shows the session token given at startup", func() {
		start(nil)
		n, err := connect("orders", "disable", "dragonflypick.session", "1:orders:2/9")
		Expect(err).NotTo(HaveOccurred())
		var t string
		Expect(n.QueryRow(x, "SHOW dragonflypick.session").Scan(&t)).To(Succeed())
		Expect(t).To(Equal("1:orders:2/9"))
	})

	It("closes idle sessions on drain and accepts no new ones", func() {
		start(nil)
		n, err := connect("orders", "disable")
		Expect(err).NotTo(HaveOccurred())
		y, stop := context.WithTimeout(x, 10*time.Second)
		defer stop()
		s.Drain(y)
		Expect(s.SessionCount()).To(BeZero())
		_, err = n.Exec(x, "SELECT 1")
		Expect(err).To(HaveOccurred())
		_, err = connect("orders", "disable")
		Expect(err).To(HaveOccurred())
	})
})
