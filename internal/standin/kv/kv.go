// Package kv implements a small stand-in for the platform's key-value service, with faults that tests inject.
package kv

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentianswitch/internal/store"
)

// PathFaults is the path at which PUT replaces the Faults, as JSON.
const PathFaults = "/faults"

// Faults are the faults that the service simulates.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMS delays each call by this number of milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseWriteAnswers closes the connection of a write after it took effect, without an answer.
	LoseWriteAnswers bool `json:"lose_write_answers"`
	// DownAfterWrite makes the service fail as Down does as soon as a write of this key has taken effect. The writer
	// still gets its answer, and watches end without the new value.
	DownAfterWrite string `json:"down_after_write"`
	// HeadVersion makes the service lose writes: each key that has had this version is rolled back to it. Zero loses none.
	HeadVersion uint64 `json:"head_version"`
}

// record is a key that exists. history holds its entries of all versions, in the order of the writes.
type record struct {
	entry   store.Entry
	lease   store.LeaseID
	history []store.Entry
}

// Server is the stand-in. Use NewServer to create one.
type Server struct {
	mu      sync.Mutex
	faults  Faults
	records map[string]*record
	// leases holds the time at which each lease expires, ttls the time to live with which it was granted.
	leases    map[store.LeaseID]time.Time
	ttls      map[store.LeaseID]time.Duration
	lastLease store.LeaseID
	// changed is closed and replaced after each write or change of the faults, to wake watches.
	changed chan struct{}
	// calls counts the calls by HTTP method.
	calls map[string]int
}

// NewServer returns a service without keys.
func NewServer() *Server {
	return &Server{
		records: make(map[string]*record), leases: make(map[store.LeaseID]time.Time),
		ttls: make(map[store.LeaseID]time.Duration), changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathFaults, s.setFaults)
	mux.HandleFunc("GET /calls", s.getCalls)
	mux.HandleFunc("GET "+store.PathKeys, s.withFaults(s.getEntry))
	mux.HandleFunc("PUT "+store.PathKeys, s.withFaults(s.putEntry))
	mux.HandleFunc("POST "+store.PathLeases, s.withFaults(s.grantLease))
	mux.HandleFunc("PUT "+store.PathLeases+"/{lease}", s.withFaults(s.keepLeaseAlive))
	return mux
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.HeadVersion > 0 {
		s.rollBack(store.Version(f.HeadVersion))
	}
	s.wakeWatches()
}

// rollBack rolls every key that has had the given version back to it. s.mu must be held.
func (s *Server) rollBack(version store.Version) {
	for _, r := range s.records {
		for _, old := range r.history {
			if old.Version == version {
				r.entry = old
			}
		}
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls[r.Method]++
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		if f.Down {
			http.Error(w, "the service is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, store.PathKeys)
}

func (s *Server) getEntry(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get(store.QueryWait))
	after, _ := strconv.ParseUint(query.Get(store.QueryAfter), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	entry, status := s.await(ctx, keyOf(r), store.Version(after), wait > 0)
	if status != http.StatusOK {
		http.Error(w, "no entry", status)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(entry.Version), 10))
	_, _ = w.Write(entry.Value)
}

// await returns the entry of a key and the status of the answer. For a watch it waits until the version differs from
// after, the service goes down or ctx ends.
func (s *Server) await(ctx context.Context, key string, after store.Version, isWatch bool) (store.Entry, int) {
	for {
		s.mu.Lock()
		s.expire(time.Now())
		entry, status, changed := store.Entry{}, http.StatusNotFound, s.changed
		if r, ok := s.records[key]; ok {
			entry, status = r.entry, http.StatusOK
		}
		if s.faults.Down {
			status = http.StatusServiceUnavailable
		}
		s.mu.Unlock()
		if !isWatch || entry.Version != after || status == http.StatusServiceUnavailable {
			return entry, status
		}
		select {
		case <-ctx.Done():
			return entry, status
		case <-changed:
		}
	}
}

func (s *Server) putEntry(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueSize+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxValueSize {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	expected, _ := strconv.ParseUint(query.Get(store.QueryVersion), 10, 64)
	lease, _ := strconv.ParseUint(query.Get(store.QueryLease), 10, 64)
	version, ok, isAnswerLost := s.compareAndSwap(keyOf(r), store.Version(expected), value, store.LeaseID(lease))
	if isAnswerLost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "another version", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(uint64(version), 10))
}

// compareAndSwap writes a key if it has the expected version and the lease is valid. It returns the new version, whether
// it wrote, and whether the answer is to be lost.
func (s *Server) compareAndSwap(
	key string, expected store.Version, value []byte, lease store.LeaseID,
) (store.Version, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	r, ok := s.records[key]
	if !ok {
		r = &record{}
	}
	_, isLeaseLive := s.leases[lease]
	if r.entry.Version != expected || (lease != 0 && !isLeaseLive) {
		return 0, false, false
	}
	r.entry = store.Entry{Value: value, Version: expected + 1}
	r.lease = lease
	r.history = append(r.history, r.entry)
	s.records[key] = r
	if key == s.faults.DownAfterWrite {
		s.faults.Down = true
	}
	s.wakeWatches()
	return r.entry.Version, true, s.faults.LoseWriteAnswers
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	ttl, _ := strconv.Atoi(r.URL.Query().Get(store.QueryTTL))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.ttls[s.lastLease] = time.Duration(ttl) * time.Millisecond
	s.leases[s.lastLease] = time.Now().Add(s.ttls[s.lastLease])
	_ = json.NewEncoder(w).Encode(store.LeaseReply{Lease: s.lastLease})
}

func (s *Server) keepLeaseAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	lease := store.LeaseID(id)
	if _, ok := s.leases[lease]; !ok {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	s.leases[lease] = time.Now().Add(s.ttls[lease])
}

// expire deletes expired leases and their keys. s.mu must be held.
func (s *Server) expire(now time.Time) {
	for lease, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, lease)
		for key, r := range s.records {
			if r.lease == lease {
				delete(s.records, key)
			}
		}
	}
}

// wakeWatches wakes every watch. s.mu must be held.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
