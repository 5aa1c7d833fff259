package events

import (
	"io"
	"sync/atomic"
)

// queueLines is the number of log lines that wait for a slow reader: at 300 bytes a line under 1 MB.
const queueLines = 2048

// Queue is a writer that never blocks: it hands lines to a goroutine that writes them, and counts those for which there
// is no room.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueue returns a queue in front of out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run(out)
	return q
}

// Write takes a copy of one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns the number of lines dropped since the last call.
func (q *Queue) TakeDropped() uint64 { return q.dropped.Swap(0) }

// Close ends the queue after the lines that wait have been written. Nothing may be written after it.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}

func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// A log that cannot be written has no other place to be reported; the lines are lost like those of a full queue.
		if _, err := out.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
}
