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

// value returns the value of a read without its start.
func value[T any](r readResult[T], err error) (T, error) { return r.value, err }

// After a power failure all balancers of a group need the list of the targets at once.
func TestConcurrentCallersShareOneRoundTrip(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	release := make(chan struct{})
	r := readCoalescer[int32]{clock: bootTime, read: func(context.Context) (int32, error) {
		number := runs.Add(1)
		if number == 1 {
			<-release
		}
		return number, nil
	}}
	first := make(chan error, 1)
	go func() {
		_, err := r.get(context.Background(), 0)
		first <- err
	}()
	g.Eventually(runs.Load).Should(BeEquivalentTo(1))
	var others sync.WaitGroup
	for range 40 {
		others.Go(func() { g.Expect(value(r.get(context.Background(), 0))).To(BeNumerically(">", 1)) })
	}
	g.Consistently(runs.Load, 100*time.Millisecond).Should(BeEquivalentTo(1), "one read at a time")
	close(release)
	others.Wait()
	g.Expect(<-first).To(Succeed())
	g.Expect(runs.Load()).To(BeNumerically("<=", 3), "a read that started before a call does not serve it")
	g.Expect(runs.Load()).To(BeNumerically(">=", 2))
}

func TestReadOutlivesItsFirstCallerAndReturnsItsErrorToTheOthers(t *testing.T) {
	g := NewWithT(t)
	broken := eris.New("broken")
	release := make(chan struct{})
	r := readCoalescer[int]{clock: bootTime, read: func(ctx context.Context) (int, error) {
		<-release
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		return 0, broken
	}}
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := r.get(ctx, 0)
		first <- err
	}()
	second := make(chan error, 1)
	g.Eventually(func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.pending == nil }).Should(BeTrue())
	go func() {
		_, err := r.get(context.Background(), 0)
		second <- err
	}()
	cancel()
	g.Expect(<-first).To(MatchError(context.Canceled))
	close(release)
	g.Expect(<-second).To(MatchError(broken))
}

func TestReadsKeepTheMinimumInterval(t *testing.T) {
	g := NewWithT(t)
	const minInterval, count = 30 * time.Millisecond, 4
	r := readCoalescer[int]{
		clock: bootTime, minInterval: minInterval,
		read: func(context.Context) (int, error) { return 0, nil },
	}
	startedAt := time.Now()
	for range count {
		_, err := r.get(context.Background(), 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(startedAt)).To(BeNumerically(">=", (count-1)*minInterval))
}
