package health

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func TestFailuresInARowEject(t *testing.T) {
	m := New(start)
	for i := range failuresToEject {
		change := m.Step(start, Failed{})
		if isLast := i == failuresToEject-1; (change != nil) != isLast {
			t.Fatalf("failure %d: change %+v", i+1, change)
		}
	}
	if m.State() != Ejected {
		t.Fatalf("state %s", m.State())
	}
}

func TestAnAnswerBetweenFailuresKeepsTheTarget(t *testing.T) {
	m := New(start)
	for range 100 {
		m.Step(start, Failed{})
		m.Step(start, Answered{Duration: time.Millisecond})
	}
	if m.State() != Healthy {
		t.Fatalf("state %s", m.State())
	}
}

func TestATargetThatAcceptsAndNeverAnswersIsEjected(t *testing.T) {
	m := New(start)
	m.Step(start, Answered{Duration: 10 * time.Millisecond})
	if m.Step(start.Add(time.Second), Tick{OldestShort: time.Second}) != nil {
		t.Fatal("ejected within the stall limit")
	}
	m.Step(start.Add(3*time.Second), Tick{OldestShort: 3 * time.Second})
	if m.State() != Ejected {
		t.Fatalf("state %s", m.State())
	}
}

func TestProbingDoublesTheEjection(t *testing.T) {
	m := New(start)
	now := start
	for range failuresToEject {
		m.Step(now, Failed{})
	}
	now = now.Add(firstEjection)
	m.Step(now, Tick{})
	if m.State() != Probing {
		t.Fatalf("state %s after the first ejection", m.State())
	}
	m.Step(now, Failed{})
	m.Step(now.Add(firstEjection), Tick{})
	if m.State() != Ejected {
		t.Fatalf("state %s, expected a longer second ejection", m.State())
	}
	now = now.Add(2 * firstEjection)
	m.Step(now, Tick{})
	for range successesToTrust {
		m.Step(now, Answered{Duration: time.Millisecond})
	}
	if m.State() != Healthy {
		t.Fatalf("state %s after good answers", m.State())
	}
}

func TestAHintCountsOnlyWithoutAnswers(t *testing.T) {
	m := New(start)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		m.Step(now, Answered{Duration: time.Millisecond})
		m.Step(now, Hint{})
	}
	if m.State() != Healthy {
		t.Fatal("a lying health endpoint ejected a target that answers")
	}
	for range hintsToEject {
		now = now.Add(hintSilence)
		m.Step(now, Hint{})
	}
	if m.State() != Ejected {
		t.Fatalf("state %s, expected the hints to count without answers", m.State())
	}
}
