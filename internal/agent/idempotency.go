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
	// headerIdempotencyKey carries a caller's idempotency key.
	headerIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks an answer that was stored for an idempotency key.
	HeaderReplayed = "Gentian-Replayed"
	maxKeyBytes    = 128
	// replicaTimeout bounds the wait for the replicas of a key.
	replicaTimeout = 300 * time.Millisecond
	// maxListedPeers is the number of peers from which on the homes may tell a part of the pool only.
	maxListedPeers = 16
)

// idempotency holds this agent's part in the keys of its pool.
type idempotency struct {
	mu   sync.Mutex
	self string
	ring *dedupe.Ring
	// replica is nil until the homes have named the pool.
	replica        *dedupe.Replica
	isPoolComplete bool
	lastClaim      atomic.Uint64
	// claimerPrefix makes the claims of this start of the agent unique.
	claimerPrefix string
}

func newIdempotency(control netip.AddrPort, incarnation uint64) *idempotency {
	self := control.String()
	return &idempotency{self: self, ring: dedupe.NewRing(self), claimerPrefix: self + "/" + strconv.FormatUint(incarnation, 10)}
}

// setPeers takes the pool that the homes name.
func (i *idempotency) setPeers(addresses []netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if i.replica == nil {
		i.replica = dedupe.NewReplica(now)
	}
	i.isPoolComplete = len(addresses) < maxListedPeers
	others := make([]string, len(addresses))
	for n, c := range addresses {
		others[n] = c.String()
	}
	i.ring.Set(now, others)
}

// newClaim returns a claim of the key. It reports false when the pool is not known whole.
func (i *idempotency) newClaim(key string) (dedupe.Claim, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	claimer := i.claimerPrefix + "/" + strconv.FormatUint(i.lastClaim.Add(1), 10)
	return dedupe.Claim{Key: key, Claimer: claimer, Replicas: i.ring.Replicas(time.Now(), key)}, i.isPoolComplete
}

// handleClaim answers a claim as a replica.
func (i *idempotency) handleClaim(c dedupe.Claim) dedupe.Reply {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.replica == nil {
		return dedupe.Reply{State: dedupe.Silent}
	}
	now := time.Now()
	return i.replica.Claim(now, c, i.ring.Replicas(now, c.Key), i.self)
}

func (i *idempotency) handleSettle(s dedupe.Settle) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.replica != nil {
		i.replica.Settle(s)
	}
}

// processOnce runs a request with an idempotency key unless it may have run before.
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
	verdict := dedupe.Decide(len(claim.Replicas), replies)
	if !verdict.IsOwned {
		a.sendSettle(dedupe.Settle{Key: key, Claimer: claim.Claimer, State: dedupe.Granted}, claim.Replicas)
		return a.respondWithoutRun(j, verdict)
	}
	recorder := &responseRecorder{ResponseWriter: j.writer}
	j.writer = recorder
	r := a.admitAndRun(j)
	a.sendSettle(newSettle(claim, r, recorder), claim.Replicas)
	return r
}

func (i *idempotency) hasPeerList() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replica != nil
}

// newSettle returns what the replicas shall remember of a request that has ended.
func newSettle(claim dedupe.Claim, r result, recorded *responseRecorder) dedupe.Settle {
	s := dedupe.Settle{Key: claim.Key, Claimer: claim.Claimer, State: dedupe.Unsure}
	switch {
	case r.outcome == OutcomeNotRun, r.outcome == outcomeCallerGone && !r.hasRun:
		s.State = dedupe.Granted
	case r.outcome == outcomeDone:
		s.State, s.Answer = dedupe.Done, recorded.response()
	}
	return s
}

// sendClaim asks the replicas of a key, each on its own.
func (a *Agent) sendClaim(ctx context.Context, claim dedupe.Claim) []dedupe.Reply {
	replies := make(chan dedupe.Reply, len(claim.Replicas))
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
	var list []dedupe.Reply
	for reply := range replies {
		list = append(list, reply)
	}
	return list
}

// sendSettle tells the replicas how a claim ended. A replica that is not reached keeps the key as running.
func (a *Agent) sendSettle(s dedupe.Settle, replicas []string) {
	for _, replica := range replicas {
		if replica == a.idempotency.self {
			a.idempotency.handleSettle(s)
			continue
		}
		go func() {
			_, err := a.callPeer(context.Background(), replica, control.Message{Settle: &s})
			if err != nil {
				a.log.Emit(events.KeyNotSettled, events.F("peer", replica), events.Err(err))
			}
		}()
	}
}

// callPeer sends a message to a peer agent and returns its answer.
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

// respondWithoutRun answers a request whose key was claimed before, or of which nothing is known for certain.
func (a *Agent) respondWithoutRun(j *job, v dedupe.Verdict) result {
	if v.Answer != nil {
		return replayResponse(j.writer, v.Answer)
	}
	e := errorResponse{status: http.StatusConflict, outcome: OutcomeUnknown, retryAfter: retryAfterFailure}
	switch v.State {
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
	r.hasRun = false
	return r
}

func replayResponse(w http.ResponseWriter, stored *dedupe.Answer) result {
	for _, h := range stored.Header {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(stored.Status)
	if _, err := w.Write(stored.Body); err != nil {
		return result{outcome: outcomeCut, status: stored.Status, isTruncated: true, reason: err.Error()}
	}
	return result{outcome: outcomeDone, status: stored.Status, reason: "stored answer of the idempotency key"}
}
