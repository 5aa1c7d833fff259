package events

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of log lines that are kept for a slow reader: less than 1 MB at 300 bytes a line.
const maxQueuedLines = 2048

// Queue is a writer that never blocks. A goroutine writes the queued lines to the underlying writer. Lines that do not fit
// in the queue are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.writeLines(out)
	return q
}

// Write queues a copy of one line. It never fails: if the queue is full, it drops the line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// ResetDropped returns the number of lines dropped since the last call and resets it.
func (q *Queue) ResetDropped() uint64 { return q.dropped.Swap(0) }

// Close returns after the queued lines are written. Later lines are not written.
func (q *Queue) Close() {
	close(q.closing)
	<-q.done
}

func (q *Queue) writeLines(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(out, line)
		case <-q.closing:
			q.writeRemaining(out)
			return
		}
	}
}

func (q *Queue) writeRemaining(out io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(out, line)
		default:
			return
		}
	}
}

// writeLine writes one line. A line that cannot be written counts as dropped, since the error cannot be logged.
func (q *Queue) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		q.dropped.Add(1)
	}
}
