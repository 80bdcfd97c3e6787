package gate_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/gate"
)

var errDisconnected = errors.New("caller disconnected")

func arrival(wait time.Duration) admission.Arrived {
	return admission.Arrived{Caller: "c", Deadline: time.Now().Add(wait)}
}

func TestOneRequestRunsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := gate.New(admission.Config{Slots: 1})
		var w errgroup.Group
		running, maxRunning := 0, 0
		for range 5 {
			w.Go(func() error {
				k, err := a.Acquire(t.Context(), arrival(time.Minute))
				if err != nil {
					return err
				}
				running++
				maxRunning = max(maxRunning, running)
				time.Sleep(time.Second)
				running--
				k.Release()
				return nil
			})
		}
		g.Expect(w.Wait()).To(gomega.Succeed())
		g.Expect(maxRunning).To(gomega.Equal(1))
		g.Expect(a.Idle()).To(gomega.BeTrue())
	})
}

func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := gate.New(admission.Config{Slots: 1})
		k, err := a.Acquire(t.Context(), arrival(time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		begin := time.Now()
		_, err = a.Acquire(t.Context(), arrival(time.Second))
		var r *gate.RefusedError
		g.Expect(errors.As(err, &r)).To(gomega.BeTrue())
		g.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(time.Since(begin)).To(gomega.BeNumerically("<=", time.Second+time.Millisecond))
		k.ReleaseDeclined()
		g.Expect(a.Idle()).To(gomega.BeTrue())
	})
}

func TestWithdrawnRequestReturnsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := gate.New(admission.Config{Slots: 1})
		k, err := a.Acquire(t.Context(), arrival(time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		x, stop := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { stop(errDisconnected) })
		_, err = a.Acquire(x, arrival(time.Minute))
		var v *gate.WithdrawnError
		g.Expect(errors.As(err, &v)).To(gomega.BeTrue())
		g.Expect(errors.Is(err, errDisconnected)).To(gomega.BeTrue())
		k.Release()
		g.Expect(a.Idle()).To(gomega.BeTrue())
	})
}

func TestHigherLimitStartsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := gate.New(admission.Config{Slots: 1})
		_, err := a.Acquire(t.Context(), arrival(time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.AfterFunc(time.Second, func() { a.Configure(admission.Config{Slots: 2}) })
		_, err = a.Acquire(t.Context(), arrival(time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(a.Running()).To(gomega.Equal(2))
	})
}

func TestReadLeavesAStalledServerBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := gate.New(admission.Config{Slots: 1, EarlyRefusal: true})
		k, err := a.Acquire(t.Context(), arrival(time.Minute))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		begin := time.Now()
		read := arrival(time.Second)
		read.Elsewhere = true
		_, err = a.Acquire(t.Context(), read)
		var r *gate.RefusedError
		g.Expect(errors.As(err, &r)).To(gomega.BeTrue())
		g.Expect(r.Reason).To(gomega.Equal(admission.Hopeless))
		g.Expect(time.Since(begin)).To(gomega.BeNumerically("<=", 510*time.Millisecond))
		g.Expect(a.Stalled()).To(gomega.BeTrue())
		k.Release()
		g.Expect(a.Stalled()).To(gomega.BeFalse())
	})
}
