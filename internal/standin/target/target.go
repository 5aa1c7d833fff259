// Package target implements a stand-in for the operators' targets: a small HTTP/1.1 server with a feed, short requests
// and uploads, and faults that tests inject.
package target

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Paths of the target.
const (
	PathFeed   = "/feed"
	PathShort  = "/short"
	PathUpload = "/upload"
	// PathRuns is the path at which GET returns the list of Run, as JSON.
	PathRuns = "/runs"
	// PathFaults is the path at which PUT replaces the Faults, as JSON.
	PathFaults = "/faults"
)

// Query parameters and headers of requests.
const (
	// QueryEvents is the number of events of a feed, QueryInterval the time between them in milliseconds.
	QueryEvents   = "events"
	QueryInterval = "interval_ms"
	// QueryWork is the service time of a request, in milliseconds.
	QueryWork = "work_ms"
	// HeaderRequest is the ID of the request, which the answer returns.
	HeaderRequest = "X-Request-Id"
	// HeaderDeadline is the remaining time for a request, in milliseconds.
	HeaderDeadline = "Gentian-Deadline-Ms"
)

// Faults are the faults that the target simulates.
type Faults struct {
	// Slowdown multiplies the service time of requests. Zero stands for 1.
	Slowdown float64 `json:"slowdown"`
	// FailShort answers short requests and uploads with status 500 after having run them.
	FailShort bool `json:"fail_short"`
	// Hang accepts requests and never answers.
	Hang bool `json:"hang"`
	// CutBody closes the connection in the middle of an answer.
	CutBody bool `json:"cut_body"`
	// CutBeforeRun closes the connection once the request was read, and does not run it.
	CutBeforeRun bool `json:"cut_before_run"`
	// CutAfterRun closes the connection after the run, without an answer.
	CutAfterRun bool `json:"cut_after_run"`
	// CutUnframed sends half of an answer that has neither a Content-Length nor chunked encoding.
	CutUnframed bool `json:"cut_unframed"`
	// Crossed sends an additional answer, to another request, after each answer and keeps the connection open.
	Crossed bool `json:"crossed"`
	// IsUnhealthy makes the health endpoint fail. Load, when not zero, replaces the value of the load endpoint.
	IsUnhealthy bool    `json:"is_unhealthy"`
	Load        float64 `json:"load"`
}

// Answer is the JSON body of the answer to a short request or an upload. Bytes is the size of the request body, and Hash its
// SHA-256 in hexadecimal.
type Answer struct {
	Service string `json:"service"`
	Request string `json:"request"`
	Bytes   int64  `json:"bytes"`
	Hash    string `json:"hash"`
}

// Run describes the runs of one request.
type Run struct {
	Request string `json:"request"`
	Count   int    `json:"count"`
	// DeadlineMs is the deadline header of the last run, in milliseconds, or zero.
	DeadlineMs int64 `json:"deadline_ms"`
	// Cancelled counts the runs that were cancelled before their end.
	Cancelled int `json:"cancelled"`
}

// Target is the stand-in.
type Target struct {
	service string
	slots   chan struct{}
	mu      sync.Mutex
	faults  Faults
	// runs holds the runs by request ID.
	runs map[string]*Run
	// busy is the total service time of the completed runs.
	busy time.Duration
}

// New returns a target of the named service that runs at most slots requests at once.
func New(service string, slots int) *Target {
	return &Target{service: service, slots: make(chan struct{}, slots), runs: make(map[string]*Run)}
}

// Handler returns the HTTP handler of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFeed, t.serveFeed)
	mux.HandleFunc(PathShort, t.serveWork)
	mux.HandleFunc("POST "+PathUpload, t.serveWork)
	mux.HandleFunc("GET "+PathRuns, t.listRuns)
	mux.HandleFunc("PUT "+PathFaults, t.setFaults)
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	return mux
}

func intQuery(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return fallback
	}
	return n
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// serveFeed sends the requested number of events at the requested interval, then ends the answer.
func (t *Target) serveFeed(w http.ResponseWriter, r *http.Request) {
	events := intQuery(r, QueryEvents, 10)
	interval := time.Duration(intQuery(r, QueryInterval, 100)) * time.Millisecond
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, t.service); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
	}
}

// serveWork reads the body, occupies a slot for the requested service time, and answers with a digest of the body.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	request := r.Header.Get(HeaderRequest)
	faults := t.currentFaults()
	if faults.CutBeforeRun {
		panic(http.ErrAbortHandler)
	}
	t.recordRun(request, r.Header.Get(HeaderDeadline))
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	duration := time.Duration(intQuery(r, QueryWork, 1)) * time.Millisecond
	if faults.Slowdown > 0 {
		duration = time.Duration(float64(duration) * faults.Slowdown)
	}
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		t.recordCancelled(request)
		return
	}
	t.addBusy(duration)
	if faults.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	if faults.FailShort {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	answer := Answer{Service: t.service, Request: request, Bytes: size, Hash: hex.EncodeToString(hash.Sum(nil))}
	t.reply(w, answer, faults)
}

func (t *Target) reply(w http.ResponseWriter, answer Answer, faults Faults) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if faults.Crossed || faults.CutUnframed {
		writeMalformed(w, body, faults)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !faults.CutBody {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *Target) recordRun(request, deadline string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.runs[request]
	if run == nil {
		run = &Run{Request: request}
		t.runs[request] = run
	}
	run.Count++
	run.DeadlineMs, _ = strconv.ParseInt(deadline, 10, 64)
}

func (t *Target) recordCancelled(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[request].Cancelled++
}

func (t *Target) addBusy(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy += d
}

func (t *Target) listRuns(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Run, 0, len(t.runs))
	for _, run := range t.runs {
		list = append(list, *run)
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if t.currentFaults().IsUnhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := t.currentFaults().Load
	if load == 0 {
		load = float64(len(t.slots)) / float64(cap(t.slots))
	}
	_, _ = fmt.Fprintf(w, "%.3f\n", load)
}
