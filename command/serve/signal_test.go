package serve

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/command/factory"
)

// childSettings is the environment variable that makes the test binary run the daemon
// with a settings file, and exitInvalid its exit status if that is refused.
const (
	childSettings = "SERVE_TEST_SETTINGS"
	exitInvalid   = 42
)

func TestMain(m *testing.M) {
	p := os.Getenv(childSettings)
	if p == "" {
		os.Exit(m.Run())
	}
	o := &Options{factory: &factory.Factory{Streams: &factory.Streams{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}}}
	if err := runOnPlatform(context.Background(), o, p); err != nil {
		os.Exit(exitInvalid)
	}
}

var _ = Describe("a daemon on the platform", func() {
	It("isn't ended by a SIGHUP that arrives while it still reads its settings", func() {
		p := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(syscall.Mkfifo(p, 0o600)).To(Succeed())
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), childSettings+"="+p)
		Expect(c.Start()).To(Succeed())
		DeferCleanup(func() { _ = c.Process.Kill() })
		// The file opens once the daemon has opened it.
		w, err := os.OpenFile(p, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Process.Signal(syscall.SIGHUP)).To(Succeed())
		_, err = w.WriteString("node: x\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
		_ = c.Wait()
		Expect(c.ProcessState.ExitCode()).To(Equal(exitInvalid), c.ProcessState.String())
	})
})
