// Package dedupe implements idempotency keys: a non-idempotent request with a key runs at most once in a pool.
//
// Before a key's request is run, it is claimed at the replicas of the key: three agents of the pool by rendezvous hash.
// Two grants are needed, so that any two claims of a key meet at a replica. The package holds the decisions only; no
// socket, goroutine or clock.
package dedupe

import "time"

const (
	// Retention is how long a key is remembered.
	Retention = 10 * time.Minute
	// settleTime is the time in which every agent of a pool learns of a new one.
	settleTime = 2 * time.Second
	// clockSkew is the most that the clocks of a caller and an agent may differ.
	clockSkew = time.Second
	// MaxKeys bounds the keys that a replica remembers. Beyond it no claim is granted.
	MaxKeys = 50_000
	// MaxAnswer is the largest answer in bytes that is stored; the run of a larger one is remembered without it.
	MaxAnswer = 16 << 10
	// maxStored bounds the answers that a replica stores, in bytes.
	maxStored = 16 << 20
)

// State is what is known of a key.
type State uint8

// The states.
const (
	// Granted means that the key was new and is now claimed.
	Granted State = iota + 1
	// Running means that another claim of the key holds, or that its claimer was lost.
	Running
	// Done means that the request has run; its answer may be stored.
	Done
	// Unsure means that the request may have run.
	Unsure
	// Silent means that the replica can't tell: it is too young, full, or not a replica of the key in its view.
	Silent
)

// Answer is a stored answer.
type Answer struct {
	Status int      `msgpack:"status"`
	Header []Header `msgpack:"header"`
	Body   []byte   `msgpack:"body"`
}

// Header is one header of a stored answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Claim asks a replica for a key.
type Claim struct {
	Key string `msgpack:"key"`
	// Claimer identifies the claim; it is unique.
	Claimer string `msgpack:"claimer"`
	// Replicas are the replicas of the key in the claimer's view.
	Replicas []string `msgpack:"replicas"`
}

// Reply answers a Claim.
type Reply struct {
	State  State   `msgpack:"state"`
	Answer *Answer `msgpack:"answer,omitempty"`
}

// Settle ends a claim. The state is Done or Unsure, or Granted to release a claim whose request was not run.
type Settle struct {
	Key     string  `msgpack:"key"`
	Claimer string  `msgpack:"claimer"`
	State   State   `msgpack:"state"`
	Answer  *Answer `msgpack:"answer,omitempty"`
}

type entry struct {
	claimer string
	state   State
	answer  *Answer
	at      time.Time
}

// Replica remembers the keys that were claimed at one agent. It is not safe for concurrent use.
type Replica struct {
	started time.Time
	entries map[string]*entry
	stored  int
	// order holds the keys by the time of their claim.
	order []string
}

// NewReplica returns a replica that has known its pool since started.
func NewReplica(started time.Time) *Replica {
	return &Replica{started: started, entries: make(map[string]*entry)}
}

// Len returns the number of keys remembered.
func (r *Replica) Len() int { return len(r.entries) }

// Claim answers a claim. The replicas are those of the key in the view of this agent, self among them or not.
func (r *Replica) Claim(now time.Time, c Claim, replicas []string, self string) Reply {
	r.expire(now)
	if e := r.entries[c.Key]; e != nil {
		return Reply{State: e.state, Answer: e.answer}
	}
	if !equal(c.Replicas, replicas) || !contains(replicas, self) {
		return Reply{State: Silent}
	}
	if !r.isComplete(now, c.Key) || len(r.entries) >= MaxKeys {
		return Reply{State: Silent}
	}
	r.entries[c.Key] = &entry{claimer: c.Claimer, state: Running, at: now}
	r.order = append(r.order, c.Key)
	return Reply{State: Granted}
}

// isComplete reports whether the replica would know the key if it had ever been claimed.
func (r *Replica) isComplete(now time.Time, key string) bool {
	since := r.started.Add(settleTime + clockSkew)
	made, ok := createdAt(key)
	if !ok || made.After(now.Add(clockSkew)) {
		return !now.Add(-Retention).Before(since)
	}
	return !made.Before(since) && made.After(now.Add(clockSkew-Retention))
}

// Settle ends a claim. It changes nothing when the key is held by another claim.
func (r *Replica) Settle(s Settle) {
	e := r.entries[s.Key]
	if e == nil || e.claimer != s.Claimer || e.state != Running {
		return
	}
	if s.State == Granted {
		// The key stays in the order; expire skips it or ends its next claim at the proper time.
		delete(r.entries, s.Key)
		return
	}
	e.state = s.State
	if s.Answer != nil && len(s.Answer.Body) <= MaxAnswer && r.stored+len(s.Answer.Body) <= maxStored {
		e.answer = s.Answer
		r.stored += len(s.Answer.Body)
	}
}

// expire forgets the keys that were claimed before the retention.
func (r *Replica) expire(now time.Time) {
	for len(r.order) > 0 {
		key := r.order[0]
		e := r.entries[key]
		if e != nil && now.Sub(e.at) < Retention {
			return
		}
		r.order = r.order[1:]
		if e == nil {
			continue
		}
		if e.answer != nil {
			r.stored -= len(e.answer.Body)
		}
		delete(r.entries, key)
	}
}

// Verdict is what a claimer does.
type Verdict struct {
	// IsOwned is true when the request may run.
	IsOwned bool
	// State is what is known of the key otherwise: Running, Done, Unsure or Silent.
	State  State
	Answer *Answer
}

// Decide returns the verdict for the replies of a key's replicas. A replica that was not reached has no reply.
func Decide(replicas int, replies []Reply) Verdict {
	granted := 0
	known := Verdict{State: Silent}
	for _, reply := range replies {
		switch reply.State {
		case Granted:
			granted++
		case Done:
			if known.State != Done || known.Answer == nil {
				known = Verdict{State: Done, Answer: reply.Answer}
			}
		case Running, Unsure:
			if known.State != Done && known.State != Unsure {
				known.State = reply.State
			}
		case Silent:
		}
	}
	if known.State == Silent && granted >= min(replicas, grantsNeeded) && replicas > 0 {
		return Verdict{IsOwned: true, State: Granted}
	}
	return known
}
