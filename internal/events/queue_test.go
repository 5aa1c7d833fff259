package events_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/events"
)

// stuck is a reader of the log that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

func TestAStormOfLinesNeverBlocksAndIsCounted(t *testing.T) {
	g := NewWithT(t)
	reader := stuck{release: make(chan struct{})}
	q := events.NewQueue(reader)
	log, err := events.NewLogger(q, events.FormatJSON, "info")
	g.Expect(err).NotTo(HaveOccurred())
	const lines = 10_000
	for i := range lines {
		log.Emit(events.OpaqueFlowPlaced, events.F("flow", i))
	}
	dropped := q.TakeDropped()
	g.Expect(dropped).To(BeNumerically(">", lines/2))
	g.Expect(dropped).To(BeNumerically("<", lines))
	close(reader.release)
	q.Close()
	g.Expect(q.TakeDropped()).To(BeZero())
}

func TestCloseWritesTheLastLinesInOrder(t *testing.T) {
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
