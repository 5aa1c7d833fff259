package duty_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gentianswitch/internal/duty"
)

func wait(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestErrorStopsAllDutiesAndNamesTheFailedOne(t *testing.T) {
	g := duty.NewGroup(context.Background())
	g.Go("wait", wait)
	g.Go("receive", func(context.Context) error { return errors.New("socket is closed") })
	if err := g.Wait(); err == nil || !strings.Contains(err.Error(), "duty receive") {
		t.Errorf("got %v, expected the error of duty receive", err)
	}
}

func TestStopReturnsNoError(t *testing.T) {
	for name, stop := range map[string]func(*duty.Group, context.CancelFunc){
		"group":   func(g *duty.Group, _ context.CancelFunc) { g.Stop() },
		"context": func(_ *duty.Group, cancel context.CancelFunc) { cancel() },
	} {
		ctx, cancel := context.WithCancel(context.Background())
		g := duty.NewGroup(ctx)
		g.Go("wait", wait)
		g.Go("fail late", func(ctx context.Context) error { <-ctx.Done(); return errors.New("closed") })
		stop(g, cancel)
		if err := g.Wait(); err != nil {
			t.Errorf("%s: got %v", name, err)
		}
		cancel()
	}
}

// Each duty has a goroutine of its own: a hundred blocked duties don't keep the next one from running.
func TestBlockedDutiesDoNotDelayOthers(t *testing.T) {
	g := duty.NewGroup(context.Background())
	for range 100 {
		g.Go("wait", wait)
	}
	g.Go("last", func(context.Context) error { g.Stop(); return nil })
	if err := g.Wait(); err != nil {
		t.Errorf("got %v", err)
	}
}

func TestPanicStopsAllDutiesAndNamesTheFailedOne(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g := duty.NewGroup(ctx)
	g.Go("wait", wait)
	g.Go("receive", func(context.Context) error { panic("index out of range") })
	if err := g.Wait(); err == nil || !strings.Contains(err.Error(), "duty receive: panic: index out of range") {
		t.Errorf("got %v, expected the panic of duty receive", err)
	}
}

func TestEveryReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	steps := 0
	duty.Every(ctx, time.Millisecond, func(time.Time) {
		if steps++; steps == 3 {
			cancel()
		}
	})
	if steps < 3 {
		t.Errorf("%d steps, expected 3", steps)
	}
}
