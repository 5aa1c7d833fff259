package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

func value[T any](r reading[T], err error) (T, error) { return r.value, err }

// The pattern is a common return: after a loss of power all balancers of a group want the list of the targets at once.
func TestManyWhoAskShareOneRound(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	release := make(chan struct{})
	r := rounds[int32]{clock: bootTime, read: func(context.Context) (int32, error) {
		number := runs.Add(1)
		if number == 1 {
			<-release
		}
		return number, nil
	}}
	first := make(chan error, 1)
	go func() {
		_, err := r.wait(context.Background(), 0)
		first <- err
	}()
	g.Eventually(runs.Load).Should(BeEquivalentTo(1))
	var others sync.WaitGroup
	for range 40 {
		others.Go(func() { g.Expect(value(r.wait(context.Background(), 0))).To(BeNumerically(">", 1)) })
	}
	g.Consistently(runs.Load, 100*time.Millisecond).Should(BeEquivalentTo(1), "one round at a time")
	close(release)
	others.Wait()
	g.Expect(<-first).To(Succeed())
	g.Expect(runs.Load()).To(BeNumerically("<=", 3), "a round that ran already when they asked does not serve them")
	g.Expect(runs.Load()).To(BeNumerically(">=", 2))
}

func TestARoundTellsItsErrorAndOutlivesWhoBeganIt(t *testing.T) {
	g := NewWithT(t)
	broken := eris.New("broken")
	release := make(chan struct{})
	r := rounds[int]{clock: bootTime, read: func(ctx context.Context) (int, error) {
		<-release
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		return 0, broken
	}}
	ctx, cancel := context.WithCancel(context.Background())
	began := make(chan error, 1)
	go func() {
		_, err := r.wait(ctx, 0)
		began <- err
	}()
	joined := make(chan error, 1)
	g.Eventually(func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.next == nil }).Should(BeTrue())
	go func() {
		_, err := r.wait(context.Background(), 0)
		joined <- err
	}()
	cancel()
	g.Expect(<-began).To(MatchError(context.Canceled))
	close(release)
	g.Expect(<-joined).To(MatchError(broken))
}

func TestRoundsKeepTheirSpacing(t *testing.T) {
	g := NewWithT(t)
	const spacing, count = 30 * time.Millisecond, 4
	r := rounds[int]{clock: bootTime, spacing: spacing, read: func(context.Context) (int, error) { return 0, nil }}
	began := time.Now()
	for range count {
		_, err := r.wait(context.Background(), 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically(">=", (count-1)*spacing))
}
