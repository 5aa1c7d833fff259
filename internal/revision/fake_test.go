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

// TestMain fixes the seed and the number of histories, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fate is what happens to one call.
type fate int

const (
	served fate = iota
	notSent
	failedBefore
	// answerLost serves the call and fails it.
	answerLost
	// late fails the call and serves a write later.
	late
)

var errLost = eris.New("no answer")

type request struct {
	isWrite bool
	serve   func() error
	done    chan error
}

// fakeStore is a store in memory that serves one call at a time, as a scheduler tells it.
type fakeStore struct {
	entries map[string]store.Entry
	heads   []Head
	late    []func() error
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

func (s *fakeStore) copy() fakeStore {
	return fakeStore{entries: maps.Clone(s.entries), heads: slices.Clone(s.heads)}
}

// view reads the log past the scheduler.
func (s *fakeStore) view(t *rapid.T, l limits) *View {
	direct := &Log{kv: &client{store: s}, limits: l}
	view, err := direct.Read(context.Background())
	if err != nil {
		t.Fatalf("the log in the store is not whole: %v", err)
	}
	return view
}

// client is one process's access to the store. Without a channel, each call is served at once.
type client struct {
	store.Store
	store *fakeStore
	calls chan request
	// count is the number of calls, when set.
	count *int
}

func (c *client) call(isWrite bool, serve func() error) error {
	if c.count != nil {
		*c.count++
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
	return 0, errLost
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
	log := &Log{kv: &client{store: s, calls: run.calls}, limits: l, pause: func(ctx context.Context, _ int) error {
		return ctx.Err()
	}}
	go func() { run.results <- log.Propose(ctx, p) }()
	return run
}

// settle waits until the proposer has a call pending or has ended.
func (p *proposer) settle() {
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

// serve ends the pending call with the given fate.
func (p *proposer) serve(s *fakeStore, f fate) {
	r := p.pending
	p.pending = nil
	var err error
	switch f {
	case served:
		err = r.serve()
	case notSent:
		err = store.ErrNotSent
	case failedBefore:
		err = errLost
	case answerLost:
		_ = r.serve()
		err = errLost
	case late:
		if r.isWrite {
			s.late = append(s.late, r.serve)
		}
		err = errLost
	}
	r.done <- err
}

func (s *fakeStore) flush() {
	for _, write := range s.late {
		_ = write()
	}
	s.late = nil
}

// runAll schedules the proposers until all have ended.
func runAll(t *rapid.T, s *fakeStore, fates []fate, proposers ...*proposer) {
	for step := 0; ; step++ {
		var waiting []*proposer
		for _, p := range proposers {
			p.settle()
			if p.pending != nil {
				waiting = append(waiting, p)
			}
		}
		if len(waiting) == 0 {
			return
		}
		if len(s.late) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			_ = s.late[0]()
			s.late = s.late[1:]
		}
		next := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "who")]
		f := rapid.SampledFrom(fates).Draw(t, "fate")
		if step > 200 || rapid.IntRange(0, 40).Draw(t, "deadline") == 0 && len(fates) > 1 {
			next.cancel()
		}
		if step > 400 {
			t.Fatal("a proposal does not end")
		}
		next.serve(s, f)
	}
}

var calm = []fate{served}

// faults leaves most calls whole.
var faults = []fate{served, served, served, served, served, notSent, failedBefore, answerLost, late}

func tablesOf(rows ...Row) *tables.Tables {
	t, err := Patch(&tables.Tables{}, rows)
	if err != nil {
		panic(err)
	}
	return t
}

func changeID(n int) string { return fmt.Sprint("change-", n) }
