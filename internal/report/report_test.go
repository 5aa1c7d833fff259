package report

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
)

func newTestRecorder() *Recorder {
	r := NewRecorder()
	for i := 1; i <= 100; i++ {
		r.RecordSample(Sample{Class: class.Short, Outcome: callers.Done, At: time.Duration(i) * 100 * time.Millisecond,
			Latency: time.Duration(i) * time.Millisecond})
	}
	r.RecordSample(Sample{Class: class.Short, Outcome: callers.NotRun, RetryAfter: time.Second, Latency: time.Millisecond})
	r.RecordSample(Sample{Class: class.Feed, Outcome: callers.Done, IsOpened: true, Latency: time.Millisecond})
	r.RecordSample(Sample{Class: class.Feed, Outcome: callers.Cut, IsOpened: true, Latency: time.Millisecond})
	r.RecordSample(Sample{Class: class.Feed, Outcome: callers.Unreachable})
	r.RecordStep(time.Second, "restart")
	return r
}

func TestReportCounts(t *testing.T) {
	r := newTestRecorder().Report("test", 1, 10*time.Second)
	if r.FlowsOpened != 2 || r.FlowsBroken != 1 || r.Cut != 1 || r.Refused != 1 || r.RefusedWithRetryAfter != 1 {
		t.Errorf("counts: %+v", r)
	}
	short := r.ClassOf(class.Short)
	if short.Sent != 101 || short.Outcomes.Done != 100 || short.AnsweredInFirst5S != 49 {
		t.Errorf("short: %+v", short)
	}
	if short.Answered.P50MS < 49 || short.Answered.P50MS > 51 || short.Answered.P99MS < 98 || short.Answered.P99MS > 100 {
		t.Errorf("percentiles: %+v", short.Answered)
	}
}

func TestReportIsNotMetWhenOneBoundIsMissed(t *testing.T) {
	r := newTestRecorder().Report("test", 1, 10*time.Second)
	r.RequireAtMost("met", 0, 0)
	if !r.IsMet() {
		t.Error("a bound at its limit counts as missed")
	}
	r.RequireAtMost("missed", 1, 0)
	if r.IsMet() {
		t.Error("a missed bound counts as met")
	}
}

func TestReportOutputs(t *testing.T) {
	r := newTestRecorder().Report("test", 1, 10*time.Second)
	r.RequireAtMost("feeds broken", 1, 0)
	var text, raw bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "MISSED") {
		t.Errorf("the text does not name the missed bound:\n%s", text.String())
	}
	if err := r.WriteJSON(&raw); err != nil {
		t.Fatal(err)
	}
	var decoded Report
	if err := json.Unmarshal(raw.Bytes(), &decoded); err != nil || decoded.FlowsBroken != 1 {
		t.Errorf("JSON: %v, %+v", err, decoded)
	}
	for _, name := range []string{"plot.svg", "plot.png"} {
		if err := r.SavePlot(filepath.Join(t.TempDir(), name)); err != nil {
			t.Error(err)
		}
	}
	if err := r.SavePlot("plot.txt"); err == nil {
		t.Error("a plot with another extension was accepted")
	}
}
