package admit

import (
	"testing"
	"time"

	"gentianswitch/internal/class"
)

func TestNewLimitsApplyWhileRequestsAreQueued(t *testing.T) {
	m, err := New(Settings{Slots: 1, QueueLimit: 1, Policy: PolicyFull})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	arrive := func(id ID) Action {
		r := Request{ID: id, Class: class.Short, Route: "r", Deadline: now.Add(time.Hour)}
		return m.Step(now, RequestArrived{Request: r})[0]
	}
	arrive(1)
	arrive(2)
	if _, isRefused := arrive(3).(Refuse); !isRefused {
		t.Fatal("request beyond the queue limit was not refused")
	}
	m.Step(now, LimitsChanged{QueueLimit: 2})
	if _, isQueued := arrive(4).(Queue); !isQueued {
		t.Fatal("request within the raised limit was not queued")
	}
	m.Step(now, LimitsChanged{QueueLimit: 0})
	if _, isRefused := arrive(5).(Refuse); !isRefused || m.Waiting() != 2 {
		t.Fatalf("refused %t with %d requests in the queue, expected a refusal with 2", isRefused, m.Waiting())
	}
}
