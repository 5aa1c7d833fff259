package demo

import (
	"context"
	"fmt"
	"time"

	"gentianswitch/internal/standin/callers"
)

// showProgress writes the counts of the run at regular intervals until ctx is canceled.
func (d *demo) showProgress(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.writeCounts()
		}
	}
}

func (d *demo) writeCounts() {
	var done, refused, failed int
	for _, s := range d.load.Recorder.Samples() {
		switch s.Outcome {
		case callers.Done:
			done++
		case callers.NotRun:
			refused++
		default:
			failed++
		}
	}
	_, _ = fmt.Fprintf(d.out, "%5.1f s  in progress %d, answered %d, refused %d, failed %d\n",
		d.load.Elapsed().Seconds(), d.load.InProgress(), done, refused, failed)
}
