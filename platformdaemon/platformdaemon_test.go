package platformdaemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/fleet"
	"github.com/dragonflypick/dragonflypick/membership"
)

func TestPlatformDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform daemon")
}

var _ = Describe("the operators' listener", func() {
	DescribeTable("serves metrics at every path but that of explanations",
		func(method, path string, status int, text string) {
			f, err := fleet.New(fleet.Config{Self: membership.Host{ID: "a"}, PeerListen: "127.0.0.1:0", Secret: "s3cret", Log: hclog.NewNullLogger()})
			Expect(err).NotTo(HaveOccurred())
			w := httptest.NewRecorder()
			operatorHandler(f).ServeHTTP(w, httptest.NewRequest(method, path, nil))
			Expect(w.Code).To(Equal(status))
			Expect(w.Body.String()).To(ContainSubstring(text))
			Expect(w.Body.String()).NotTo(ContainSubstring("s3cret"))
		},
		Entry("root", http.MethodGet, "/", http.StatusOK, "dragonflypick_configuration_version"),
		Entry("usual path", http.MethodGet, "/metrics", http.StatusOK, "dragonflypick_configuration_version"),
		Entry("explanation", http.MethodGet, explanation.Path+"?database=d&kind=read", http.StatusOK, "no configuration yet"),
		Entry("wrong query", http.MethodGet, explanation.Path+"?database=d", http.StatusBadRequest, explanation.CodeWrongParameter),
	)
})
