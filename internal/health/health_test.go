package health

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func TestConsecutiveFailuresEjectTarget(t *testing.T) {
	m := New(start)
	for i := range failuresToEject {
		change := m.Step(start, RequestFailed{})
		if isLast := i == failuresToEject-1; (change != nil) != isLast {
			t.Fatalf("failure %d: change %+v", i+1, change)
		}
	}
	if m.State() != Ejected {
		t.Fatalf("state %s", m.State())
	}
}

func TestAnswersBetweenFailuresPreventEjection(t *testing.T) {
	m := New(start)
	for range 100 {
		m.Step(start, RequestFailed{})
		m.Step(start, RequestSucceeded{Duration: time.Millisecond})
	}
	if m.State() != Healthy {
		t.Fatalf("state %s", m.State())
	}
}

// A target that accepts requests and answers none causes no failures before the requests time out.
func TestStalledTargetIsEjected(t *testing.T) {
	m := New(start)
	m.Step(start, RequestSucceeded{Duration: 10 * time.Millisecond})
	if m.Step(start.Add(time.Second), Tick{OldestShortAge: time.Second}) != nil {
		t.Fatal("target ejected before the stall limit")
	}
	m.Step(start.Add(3*time.Second), Tick{OldestShortAge: 3 * time.Second})
	if m.State() != Ejected {
		t.Fatalf("state %s", m.State())
	}
}

func TestFailureWhileProbingDoublesEjection(t *testing.T) {
	m := New(start)
	now := start
	for range failuresToEject {
		m.Step(now, RequestFailed{})
	}
	now = now.Add(initialEjection)
	m.Step(now, Tick{})
	if m.State() != Probing {
		t.Fatalf("state %s after the first ejection", m.State())
	}
	m.Step(now, RequestFailed{})
	m.Step(now.Add(initialEjection), Tick{})
	if m.State() != Ejected {
		t.Fatalf("state %s, expected a longer second ejection", m.State())
	}
	now = now.Add(2 * initialEjection)
	m.Step(now, Tick{})
	for range successesToRecover {
		m.Step(now, RequestSucceeded{Duration: time.Millisecond})
	}
	if m.State() != Healthy {
		t.Fatalf("state %s after good answers", m.State())
	}
}

func TestBadHintsCountOnlyWithoutAnswers(t *testing.T) {
	m := New(start)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		m.Step(now, RequestSucceeded{Duration: time.Millisecond})
		m.Step(now, Hint{})
	}
	if m.State() != Healthy {
		t.Fatal("bad hints ejected a target that answers requests")
	}
	for range hintsToEject {
		now = now.Add(minHintSilence)
		m.Step(now, Hint{})
	}
	if m.State() != Ejected {
		t.Fatalf("state %s, expected the bad hints to eject a target without answers", m.State())
	}
}
