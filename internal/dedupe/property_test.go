package dedupe

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// pool simulates a pool whose agents crash, restart with no state, and lose messages.
type pool struct {
	t      *rapid.T
	now    time.Time
	names  []string
	agents map[string]*Replica
	// views holds the pool as each agent knows it.
	views map[string]*Membership
	// runs counts how often the request of each key was run.
	runs map[string]int
	// claims is the number of claims so far.
	claims int
}

// keyCreatedAt returns a UUIDv7 with the given creation time that is distinct for each n.
func keyCreatedAt(at time.Time, n int) string {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

func newPool(t *rapid.T) *pool {
	p := &pool{
		t: t, now: time.UnixMilli(1_800_000_000_000), agents: make(map[string]*Replica),
		views: make(map[string]*Membership), runs: make(map[string]int),
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "agents") {
		p.names = append(p.names, fmt.Sprint("agent-", i))
	}
	for _, name := range p.names {
		p.start(name)
	}
	p.now = p.now.Add(time.Hour)
	return p
}

func (p *pool) start(name string) {
	p.agents[name] = NewReplica(p.now)
	p.views[name] = NewMembership(name)
	p.views[name].SetOthers(p.now, p.names)
}

// sendRequest sends a request with a key to a random agent. The agent claims the key, runs the request when the claim is
// granted, and reports the outcome to the replicas. Any message between agents may be lost.
func (p *pool) sendRequest(key string) {
	name := rapid.SampledFrom(p.names).Draw(p.t, "agent")
	view := p.views[name]
	if view == nil {
		return
	}
	p.claims++
	c := Claim{Key: key, ClaimID: fmt.Sprint(p.claims), Replicas: view.Replicas(p.now, key)}
	var replies []ClaimReply
	for _, replica := range c.Replicas {
		if p.agents[replica] == nil || rapid.IntRange(0, 4).Draw(p.t, "lose claim") == 0 {
			continue
		}
		reply := p.agents[replica].HandleClaim(p.now, c, p.views[replica].Replicas(p.now, key), replica)
		if rapid.IntRange(0, 4).Draw(p.t, "lose reply") != 0 {
			replies = append(replies, reply)
		}
	}
	o := ClaimOutcome{Key: key, ClaimID: c.ClaimID, State: Granted}
	if Decide(len(c.Replicas), replies).MayRun {
		o.State = rapid.SampledFrom([]State{Done, Unsure, Granted}).Draw(p.t, "outcome")
		if o.State != Granted {
			p.runs[key]++
		}
	}
	for _, replica := range c.Replicas {
		if p.agents[replica] != nil && rapid.IntRange(0, 3).Draw(p.t, "lose outcome") != 0 {
			p.agents[replica].HandleOutcome(o)
		}
	}
	if p.runs[key] > 1 {
		p.t.Fatalf("key %s ran %d times", key, p.runs[key])
	}
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t)
		var keys []string
		t.Repeat(map[string]func(*rapid.T){
			"new key": func(*rapid.T) {
				keys = append(keys, keyCreatedAt(p.now, len(keys)))
				p.sendRequest(keys[len(keys)-1])
			},
			"repeat": func(t *rapid.T) {
				if len(keys) > 0 {
					p.sendRequest(rapid.SampledFrom(keys).Draw(t, "key"))
				}
			},
			"die": func(t *rapid.T) {
				name := rapid.SampledFrom(p.names).Draw(t, "dead")
				p.agents[name], p.views[name] = nil, nil
			},
			"restart": func(t *rapid.T) { p.start(rapid.SampledFrom(p.names).Draw(t, "restarted")) },
			"wait": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 400_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// A key that is not a UUIDv7 has no creation time. A replica that started less than the retention ago must not grant it: the
// key may have been claimed before the start.
func TestRecentlyStartedReplicaDoesNotGrantKeyWithoutCreationTime(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	view := NewMembership("a")
	claim := Claim{Key: "opaque", ClaimID: "1", Replicas: []string{"a"}}
	r := NewReplica(start)
	if got := r.HandleClaim(start.Add(time.Minute), claim, view.Replicas(start, "opaque"), "a"); got.State != Unknown {
		t.Fatalf("state %d, expected no decision on the key", got.State)
	}
	later := start.Add(Retention + time.Minute)
	if got := r.HandleClaim(later, claim, view.Replicas(later, "opaque"), "a"); got.State != Granted {
		t.Fatalf("state %d, expected Granted", got.State)
	}
}

func TestRepeatedClaimReturnsStoredAnswer(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	now := start.Add(time.Minute)
	key := keyCreatedAt(now, 1)
	claim := Claim{Key: key, ClaimID: "1", Replicas: []string{"a"}}
	r := NewReplica(start)
	r.HandleClaim(now, claim, []string{"a"}, "a")
	r.HandleOutcome(ClaimOutcome{Key: key, ClaimID: "1", State: Done, Answer: &Answer{Status: 200, Body: []byte("once")}})
	v := Decide(1, []ClaimReply{r.HandleClaim(now, claim, []string{"a"}, "a")})
	if v.MayRun || v.Answer == nil || string(v.Answer.Body) != "once" {
		t.Fatalf("got %+v, expected the stored answer", v)
	}
}
