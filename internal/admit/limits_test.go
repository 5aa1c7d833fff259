package admit

import (
	"testing"
	"time"

	"gentianswitch/internal/class"
)

func TestLimitsTakeEffectWhileRequestsWait(t *testing.T) {
	m, err := New(Settings{Slots: 1, QueueLimit: 1, Policy: PolicyFull})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	arrive := func(id ID) Action {
		r := Request{ID: id, Class: class.Short, Route: "r", Deadline: now.Add(time.Hour)}
		return m.Step(now, Arrive{Request: r})[0]
	}
	arrive(1)
	arrive(2)
	if _, isRefused := arrive(3).(Refuse); !isRefused {
		t.Fatal("a request beyond the queue limit is not refused")
	}
	m.Step(now, Limits{QueueLimit: 2})
	if _, isQueued := arrive(4).(Queue); !isQueued {
		t.Fatal("a request within the raised limit is refused")
	}
	m.Step(now, Limits{QueueLimit: 0})
	if _, isRefused := arrive(5).(Refuse); !isRefused || m.Waiting() != 2 {
		t.Fatalf("refused %t, %d wait, expected a refusal and 2", isRefused, m.Waiting())
	}
}
