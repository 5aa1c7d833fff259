package revision

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

// TestMain fixes the seed and the number of histories, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// callOutcome is what happens to one call to the store.
type callOutcome int

const (
	served callOutcome = iota
	// notSent returns store.ErrNotSent without serving the call.
	notSent
	// failedBefore returns another error without serving the call.
	failedBefore
	// replyLost serves the call and returns an error for it.
	replyLost
	// servedLate returns an error for the call. A write is served later, between other calls.
	servedLate
)

var errNoReply = eris.New("no reply")

// request is a call to the store that waits for the scheduler.
type request struct {
	isWrite bool
	serve   func() error
	done    chan error
}

// fakeStore is a store in memory. Its calls are served one at a time, in the order that the scheduler of a test chooses.
type fakeStore struct {
	entries map[string]store.Entry
	// heads are all heads that were written, the newest last.
	heads      []Head
	lateWrites []func() error
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]store.Entry)}
}

func (s *fakeStore) swap(key string, version store.Version, value []byte) (store.Version, error) {
	if s.entries[key].Version != version {
		return 0, store.ErrConflict
	}
	s.entries[key] = store.Entry{Value: value, Version: version + 1}
	if key == HeadKey {
		head, err := DecodeHead(value)
		if err != nil {
			return 0, err
		}
		s.heads = append(s.heads, head)
	}
	return version + 1, nil
}

func (s *fakeStore) clone() fakeStore {
	return fakeStore{entries: maps.Clone(s.entries), heads: slices.Clone(s.heads)}
}

// view reads the log without the scheduler.
func (s *fakeStore) view(t *rapid.T, l limits) *View {
	direct := &Log{kv: &client{store: s}, limits: l}
	view, err := direct.Read(context.Background())
	if err != nil {
		t.Fatalf("the log in the store is damaged: %v", err)
	}
	return view
}

// client is the store as one process sees it. Without a channel of calls, each call is served at once.
type client struct {
	store.Store
	store *fakeStore
	calls chan request
	// callCount counts the calls if it is set.
	callCount *int
}

func (c *client) call(isWrite bool, serve func() error) error {
	if c.callCount != nil {
		*c.callCount++
	}
	if c.calls == nil {
		return serve()
	}
	r := request{isWrite: isWrite, serve: serve, done: make(chan error)}
	c.calls <- r
	return <-r.done
}

func (c *client) Get(_ context.Context, key string) (entry store.Entry, err error) {
	err = c.call(false, func() error {
		found, ok := c.store.entries[key]
		if !ok {
			return store.ErrNotFound
		}
		entry = found
		return nil
	})
	return entry, err
}

func (c *client) CompareAndSwap(
	_ context.Context, key string, version store.Version, value []byte, _ store.LeaseID,
) (store.Version, error) {
	result := make(chan store.Version, 2)
	err := c.call(true, func() error {
		next, err := c.store.swap(key, version, value)
		result <- next
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

func (c *client) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, errNoReply
}

// proposer is one run of Propose under the scheduler.
type proposer struct {
	proposal Proposal
	calls    chan request
	results  chan Result
	cancel   context.CancelFunc
	pending  *request
	result   *Result
}

func newProposer(s *fakeStore, l limits, p Proposal) *proposer {
	ctx, cancel := context.WithCancel(context.Background())
	run := &proposer{proposal: p, calls: make(chan request), results: make(chan Result, 1), cancel: cancel}
	log := &Log{kv: &client{store: s, calls: run.calls}, limits: l, backOff: func(ctx context.Context, _ int) error {
		return ctx.Err()
	}}
	go func() { run.results <- log.Propose(ctx, p) }()
	return run
}

// awaitCall waits until the proposer has a pending call or has returned.
func (p *proposer) awaitCall() {
	if p.pending != nil || p.result != nil {
		return
	}
	select {
	case r := <-p.calls:
		p.pending = &r
	case r := <-p.results:
		p.result = &r
	}
}

// serve completes the pending call with the given outcome.
func (p *proposer) serve(s *fakeStore, outcome callOutcome) {
	r := p.pending
	p.pending = nil
	var err error
	switch outcome {
	case served:
		err = r.serve()
	case notSent:
		err = store.ErrNotSent
	case failedBefore:
		err = errNoReply
	case replyLost:
		_ = r.serve()
		err = errNoReply
	case servedLate:
		if r.isWrite {
			s.lateWrites = append(s.lateWrites, r.serve)
		}
		err = errNoReply
	}
	r.done <- err
}

// serveLateWrites serves all writes that are still late.
func (s *fakeStore) serveLateWrites() {
	for _, write := range s.lateWrites {
		_ = write()
	}
	s.lateWrites = nil
}

// runProposers schedules the calls of the proposers until all have returned. With faults it ends contexts at random, and after
// 200 steps it ends the context of each proposer that it schedules, so that the histories stay short.
func runProposers(t *rapid.T, s *fakeStore, outcomes []callOutcome, proposers ...*proposer) {
	for step := 0; ; step++ {
		var waiting []*proposer
		for _, p := range proposers {
			p.awaitCall()
			if p.pending != nil {
				waiting = append(waiting, p)
			}
		}
		if len(waiting) == 0 {
			return
		}
		if len(s.lateWrites) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			_ = s.lateWrites[0]()
			s.lateWrites = s.lateWrites[1:]
		}
		next := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "proposer")]
		outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
		if step > 200 || rapid.IntRange(0, 40).Draw(t, "deadline") == 0 && len(outcomes) > 1 {
			next.cancel()
		}
		if step > 400 {
			t.Fatal("a proposal does not return")
		}
		next.serve(s, outcome)
	}
}

var noFaults = []callOutcome{served}

// faults has most calls served.
var faults = []callOutcome{served, served, served, served, served, notSent, failedBefore, replyLost, servedLate}

func tablesOf(rows ...Row) *tables.Tables {
	t, err := Patch(&tables.Tables{}, rows)
	if err != nil {
		panic(err)
	}
	return t
}

func changeID(n int) string { return fmt.Sprint("change-", n) }
