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
	closing chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue in front of out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
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

// Close writes the lines that wait and returns. Lines that come later are not written.
func (q *Queue) Close() {
	close(q.closing)
	<-q.done
}

func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(out, line)
		case <-q.closing:
			q.drain(out)
			return
		}
	}
}

func (q *Queue) drain(out io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.write(out, line)
		default:
			return
		}
	}
}

// write writes one line. A log that cannot be written has no other place to be reported; its lines count as dropped.
func (q *Queue) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		q.dropped.Add(1)
	}
}
