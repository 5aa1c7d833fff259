package events_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/events"
)

// blockedWriter is a log whose reader has stopped: writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

func TestStormOfLinesIsDroppedWithoutBlocking(t *testing.T) {
	g := NewWithT(t)
	writer := blockedWriter{release: make(chan struct{})}
	q := events.NewQueue(writer)
	log, err := events.NewLogger(q, events.FormatJSON, "info")
	g.Expect(err).NotTo(HaveOccurred())
	const lines = 10_000
	for i := range lines {
		log.Emit(events.OpaqueFlowPlaced, events.F("flow", i))
	}
	dropped := q.ResetDropped()
	g.Expect(dropped).To(BeNumerically(">", lines/2))
	g.Expect(dropped).To(BeNumerically("<", lines))
	close(writer.release)
	q.Close()
	g.Expect(q.ResetDropped()).To(BeZero())
}

func TestCloseWritesQueuedLinesInOrder(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	q := events.NewQueue(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintln("line", i)
		want += line
		_, err := q.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
	}
	q.Close()
	g.Expect(out.String()).To(Equal(want))
	_, err := q.Write([]byte("late"))
	g.Expect(err).NotTo(HaveOccurred())
}
