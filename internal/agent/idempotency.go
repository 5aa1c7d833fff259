package agent

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/dedupe"
	"gentianswitch/internal/events"
)

const (
	// headerIdempotencyKey is the header with a caller's idempotency key.
	headerIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is the header that marks a stored response of an earlier request with the same idempotency key.
	HeaderReplayed = "Gentian-Replayed"
	// maxKeyBytes is the maximum length of an idempotency key. The text of errKeyTooLong states it too.
	maxKeyBytes = 128
	// replicaTimeout bounds each step of a call to a replica: connecting, and waiting for the reply.
	replicaTimeout = 300 * time.Millisecond
	// maxListedPeers is the largest number of peers that an observer lists (maxServicePeers of package balancer). A list of
	// this length may be incomplete.
	maxListedPeers = 16
)

// idempotency holds what this agent knows about the idempotency keys of its pool: the agents that can be replicas, and the keys
// of which it is a replica itself.
type idempotency struct {
	mu sync.Mutex
	// self is the agent's control address, which identifies it as a replica.
	self string
	// membership selects the replicas of each key among the agents of the pool.
	membership *dedupe.Membership
	// replica is nil until an observer has listed the peers.
	replica *dedupe.Replica
	// isPoolComplete is true if the list of peers is known to be complete.
	isPoolComplete bool
	claimCount     atomic.Uint64
	// claimIDPrefix identifies this incarnation of the agent. Together with claimCount, it makes the claim IDs unique.
	claimIDPrefix string
}

func newIdempotency(control netip.AddrPort, incarnation uint64) *idempotency {
	self := control.String()
	return &idempotency{
		self: self, membership: dedupe.NewMembership(self),
		claimIDPrefix: self + "/" + strconv.FormatUint(incarnation, 10),
	}
}

// setPeers replaces the other agents of the pool with those that an observer has listed.
func (i *idempotency) setPeers(addresses []netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if i.replica == nil {
		i.replica = dedupe.NewReplica(now)
	}
	i.isPoolComplete = len(addresses) < maxListedPeers
	others := make([]string, len(addresses))
	for n, address := range addresses {
		others[n] = address.String()
	}
	i.membership.SetOthers(now, others)
}

// newClaim returns a new claim of the key. It returns false if the known pool may be incomplete.
func (i *idempotency) newClaim(key string) (dedupe.Claim, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	claimID := i.claimIDPrefix + "/" + strconv.FormatUint(i.claimCount.Add(1), 10)
	return dedupe.Claim{Key: key, ClaimID: claimID, Replicas: i.membership.Replicas(time.Now(), key)}, i.isPoolComplete
}

// handleClaim decides on a claim as a replica of the key.
func (i *idempotency) handleClaim(c dedupe.Claim) dedupe.ClaimReply {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.replica == nil {
		return dedupe.ClaimReply{State: dedupe.Unknown}
	}
	now := time.Now()
	return i.replica.HandleClaim(now, c, i.membership.Replicas(now, c.Key), i.self)
}

// handleOutcome records the outcome of a claim as a replica of the key.
func (i *idempotency) handleOutcome(o dedupe.ClaimOutcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.replica != nil {
		i.replica.HandleOutcome(o)
	}
}

// processOnce runs a request with an idempotency key, unless a request with the same key may have run before. If the known pool
// may be incomplete, it doesn't claim the key, and a repeated request may run again. Before an observer has listed the peers,
// this agent is the only replica that it knows and grants no claim, so that the request is refused with status 503.
func (a *Agent) processOnce(j *job, key string) result {
	if len(key) > maxKeyBytes {
		return a.respondInvalid(j, errKeyTooLong)
	}
	claim, isPoolComplete := a.idempotency.newClaim(key)
	if a.idempotency.hasPeerList() && !isPoolComplete {
		a.requestCounters.uncoveredKeys.Inc(1)
		return a.admitAndRun(j)
	}
	replies := a.sendClaim(j.request.Context(), claim)
	decision := dedupe.Decide(len(claim.Replicas), replies)
	if !decision.MayRun {
		// Release the key at the replicas that have granted the claim.
		a.sendOutcome(dedupe.ClaimOutcome{Key: key, ClaimID: claim.ClaimID, State: dedupe.Granted}, claim.Replicas)
		return a.respondWithoutRun(j, decision)
	}
	recorder := &responseRecorder{ResponseWriter: j.writer}
	j.writer = recorder
	r := a.admitAndRun(j)
	a.sendOutcome(newClaimOutcome(claim, r, recorder), claim.Replicas)
	return r
}

// hasPeerList reports whether an observer has listed the peers.
func (i *idempotency) hasPeerList() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replica != nil
}

// newClaimOutcome returns the message that reports the outcome of a claim to the replicas. It releases the key if the request
// has not run, stores the response if the request is done, and otherwise records that the request may have run.
func newClaimOutcome(claim dedupe.Claim, r result, recorded *responseRecorder) dedupe.ClaimOutcome {
	o := dedupe.ClaimOutcome{Key: claim.Key, ClaimID: claim.ClaimID, State: dedupe.Unsure}
	switch {
	case r.outcome == OutcomeNotRun, r.outcome == outcomeCallerGone && !r.hasRun:
		o.State = dedupe.Granted
	case r.outcome == outcomeDone:
		o.State, o.Answer = dedupe.Done, recorded.response()
	}
	return o
}

// sendClaim sends a claim to all replicas of the key concurrently and returns the replies.
func (a *Agent) sendClaim(ctx context.Context, claim dedupe.Claim) []dedupe.ClaimReply {
	replies := make(chan dedupe.ClaimReply, len(claim.Replicas))
	var calls sync.WaitGroup
	for _, replica := range claim.Replicas {
		calls.Go(func() {
			if replica == a.idempotency.self {
				replies <- a.idempotency.handleClaim(claim)
				return
			}
			m, err := a.callPeer(ctx, replica, control.Message{Claim: &claim})
			if err == nil && m.ClaimReply != nil {
				replies <- *m.ClaimReply
			}
		})
	}
	calls.Wait()
	close(replies)
	var list []dedupe.ClaimReply
	for reply := range replies {
		list = append(list, reply)
	}
	return list
}

// sendOutcome reports the outcome of a claim to the replicas of the key. It calls the other agents in the background. At a
// replica that it can't reach, the key stays in the state dedupe.Running until dedupe.Retention has passed.
func (a *Agent) sendOutcome(o dedupe.ClaimOutcome, replicas []string) {
	for _, replica := range replicas {
		if replica == a.idempotency.self {
			a.idempotency.handleOutcome(o)
			continue
		}
		go func() {
			_, err := a.callPeer(context.Background(), replica, control.Message{ClaimOutcome: &o})
			if err != nil {
				a.log.Emit(events.KeyOutcomeNotSent, events.F("peer", replica), events.Err(err))
			}
		}()
	}
}

// callPeer sends a message to a peer agent and returns the reply.
func (a *Agent) callPeer(ctx context.Context, peer string, m control.Message) (control.Message, error) {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return control.Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	conn, err := a.peerConns.get(ctx, address)
	if err != nil {
		return control.Message{}, err
	}
	reply, err := conn.CallWithin(m, replicaTimeout)
	if err != nil {
		conn.Close()
		return control.Message{}, err
	}
	a.peerConns.put(address, conn)
	return reply, nil
}

// respondWithoutRun responds to a request that must not run, because its key was claimed before or its state is unknown.
func (a *Agent) respondWithoutRun(j *job, decision dedupe.Decision) result {
	if decision.Answer != nil {
		return replayResponse(j.writer, decision.Answer)
	}
	e := errorResponse{status: http.StatusConflict, outcome: OutcomeUnknown, retryAfter: retryAfterFailure}
	switch decision.State {
	case dedupe.Running:
		e.reason = "a request with this idempotency key is running, or its agent was lost"
	case dedupe.Done:
		e.reason = "the request with this idempotency key has run; its answer is not stored"
	case dedupe.Unsure:
		e.reason = "the request with this idempotency key may have run"
	default:
		e.status, e.reason = http.StatusServiceUnavailable, "the history of this idempotency key cannot be known"
	}
	e.write(j.writer)
	r := e.result()
	// The outcome is that of the earlier request with the key. This request has not run.
	r.hasRun = false
	return r
}

// replayResponse sends a stored response to the caller.
func replayResponse(w http.ResponseWriter, stored *dedupe.Answer) result {
	for _, h := range stored.Header {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(stored.Status)
	if _, err := w.Write(stored.Body); err != nil {
		return result{outcome: outcomeCut, status: stored.Status, isTruncated: true, reason: err.Error()}
	}
	return result{outcome: outcomeDone, status: stored.Status, reason: "stored response of the idempotency key"}
}
