// Package dedupe implements idempotency keys: a non-idempotent request with a key runs at most once in a pool.
//
// Before an agent runs a request with a key, it claims the key at the replicas of the key, which are three agents of the
// pool selected by rendezvous hashing. It needs the grants of two replicas, so that any two claims of a key have a replica
// in common. The package contains only the decisions, without sockets, goroutines or clocks.
package dedupe

import "time"

const (
	// Retention is the time for which a replica remembers a key after its claim.
	Retention = 10 * time.Minute
	// poolDiscoveryTime is the time within which every agent of a pool learns of a new agent.
	poolDiscoveryTime = 2 * time.Second
	// clockSkew is the maximum difference between the clocks of a caller and an agent that is tolerated.
	clockSkew = time.Second
	// MaxKeys is the maximum number of keys that a replica remembers. At the limit it grants no claims.
	MaxKeys = 50_000
	// MaxAnswerBytes is the maximum size of the body of a stored answer, in bytes. For a larger answer, a replica remembers
	// only that the request has run.
	MaxAnswerBytes = 16 << 10
	// maxStoredBytes is the maximum total size of the bodies that a replica stores. Beyond it, a replica remembers only that
	// the request has run.
	maxStoredBytes = 16 << 20
)

// State is the state of a key at a replica.
type State uint8

const (
	// Granted means that the key was new and is now claimed.
	Granted State = iota + 1
	// Running means that another claim holds the key. Its request is running, or its claimer was lost.
	Running
	// Done means that the request has run. Its answer may be stored.
	Done
	// Unsure means that the request may have run, but its outcome is unknown.
	Unsure
	// Unknown means that the replica does not know the state of the key: it started too recently, is full, is not a
	// replica of the key in its view of the pool, or has another view of the key's replicas than the claimer.
	Unknown
)

// Answer is a stored HTTP response.
type Answer struct {
	Status int      `msgpack:"status"`
	Header []Header `msgpack:"header"`
	Body   []byte   `msgpack:"body"`
}

// Header is one header field of a stored answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Claim is the request to a replica to grant a key.
type Claim struct {
	Key string `msgpack:"key"`
	// ClaimID is the unique identifier of the claim.
	ClaimID string `msgpack:"claimer"`
	// Replicas are the replicas of the key in the claimer's view of the pool.
	Replicas []string `msgpack:"replicas"`
}

// ClaimReply is the answer of a replica to a Claim.
type ClaimReply struct {
	State  State   `msgpack:"state"`
	Answer *Answer `msgpack:"answer,omitempty"`
}

// ClaimOutcome reports to a replica how the request of a claim ended. The state is Done or Unsure, or Granted to release a
// claim whose request was not run.
type ClaimOutcome struct {
	Key     string  `msgpack:"key"`
	ClaimID string  `msgpack:"claimer"`
	State   State   `msgpack:"state"`
	Answer  *Answer `msgpack:"answer,omitempty"`
}

// keyEntry is what a replica remembers of a key.
type keyEntry struct {
	claimID   string
	state     State
	answer    *Answer
	claimedAt time.Time
}

// Replica stores the keys that were claimed at one agent. It is not safe for concurrent use.
type Replica struct {
	startedAt   time.Time
	entries     map[string]*keyEntry
	storedBytes int
	// claimOrder holds the keys in the order of their claims.
	claimOrder []string
}

// NewReplica returns a replica whose agent has known its pool since started.
func NewReplica(started time.Time) *Replica {
	return &Replica{startedAt: started, entries: make(map[string]*keyEntry)}
}

// Len returns the number of stored keys.
func (r *Replica) Len() int { return len(r.entries) }

// HandleClaim handles a claim and returns the reply. replicas are the replicas of the key in this agent's view of the pool,
// which need not include self, the name of this agent.
func (r *Replica) HandleClaim(now time.Time, c Claim, replicas []string, self string) ClaimReply {
	r.removeExpired(now)
	if e := r.entries[c.Key]; e != nil {
		return ClaimReply{State: e.state, Answer: e.answer}
	}
	if !equal(c.Replicas, replicas) || !contains(replicas, self) {
		return ClaimReply{State: Unknown}
	}
	if !r.coversKey(now, c.Key) || len(r.entries) >= MaxKeys {
		return ClaimReply{State: Unknown}
	}
	r.entries[c.Key] = &keyEntry{claimID: c.ClaimID, state: Running, claimedAt: now}
	r.claimOrder = append(r.claimOrder, c.Key)
	return ClaimReply{State: Granted}
}

// coversKey reports whether the replica would know the key if the key had been claimed before. A key with a creation time
// must have been created after every agent of the pool knew this replica and less than the retention ago. A creation time in
// the future is ignored. For any other key, every agent must have known this replica for the retention.
func (r *Replica) coversKey(now time.Time, key string) bool {
	since := r.startedAt.Add(poolDiscoveryTime + clockSkew)
	created, ok := keyCreationTime(key)
	if !ok || created.After(now.Add(clockSkew)) {
		return !now.Add(-Retention).Before(since)
	}
	return !created.Before(since) && created.After(now.Add(clockSkew-Retention))
}

// HandleOutcome records the outcome of a claim. It changes nothing when another claim holds the key.
func (r *Replica) HandleOutcome(o ClaimOutcome) {
	e := r.entries[o.Key]
	if e == nil || e.claimID != o.ClaimID || e.state != Running {
		return
	}
	if o.State == Granted {
		// The key stays in claimOrder. removeExpired skips it, or keeps it until its next claim expires.
		delete(r.entries, o.Key)
		return
	}
	e.state = o.State
	if o.Answer != nil && len(o.Answer.Body) <= MaxAnswerBytes && r.storedBytes+len(o.Answer.Body) <= maxStoredBytes {
		e.answer = o.Answer
		r.storedBytes += len(o.Answer.Body)
	}
}

// removeExpired removes the keys whose claims are older than the retention.
func (r *Replica) removeExpired(now time.Time) {
	for len(r.claimOrder) > 0 {
		key := r.claimOrder[0]
		e := r.entries[key]
		if e != nil && now.Sub(e.claimedAt) < Retention {
			return
		}
		r.claimOrder = r.claimOrder[1:]
		if e == nil {
			continue
		}
		if e.answer != nil {
			r.storedBytes -= len(e.answer.Body)
		}
		delete(r.entries, key)
	}
}

// Decision is the decision on the request of a claim.
type Decision struct {
	// MayRun is true when the claim was granted and the request may run.
	MayRun bool
	// State is Granted when the request may run, and otherwise the known state of the key.
	State State
	// Answer is the stored answer of a request that is Done, or nil.
	Answer *Answer
}

// Decide returns the decision for the replies that a claimer received. replicas is the number of replicas of the key. A
// replica that could not be reached has no reply.
func Decide(replicas int, replies []ClaimReply) Decision {
	granted := 0
	known := Decision{State: Unknown}
	for _, reply := range replies {
		switch reply.State {
		case Granted:
			granted++
		case Done:
			if known.State != Done || known.Answer == nil {
				known = Decision{State: Done, Answer: reply.Answer}
			}
		case Running, Unsure:
			if known.State != Done && known.State != Unsure {
				known.State = reply.State
			}
		case Unknown:
		}
	}
	if known.State == Unknown && granted >= min(replicas, grantQuorum) && replicas > 0 {
		return Decision{MayRun: true, State: Granted}
	}
	return known
}
