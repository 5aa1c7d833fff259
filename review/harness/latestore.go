//go:build review

package harness

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// LateStore stands between the agents and the store. It passes calls on. While it loses writes, it does not answer a write, and
// carries it out later.
type LateStore struct {
	server *httptest.Server
	c      *Cluster

	mu      sync.Mutex
	isLossy bool
	delay   time.Duration
	lost    int
}

// NewLateStore starts a LateStore before the deployment's store. Machines that are added from now on use it.
func (c *Cluster) NewLateStore() *LateStore {
	s := &LateStore{c: c}
	s.server = httptest.NewServer(s)
	c.storeAddress = s.server.Listener.Addr().String()
	return s
}

// LoseWrites begins to lose the answers of writes, which are done after a delay.
func (s *LateStore) LoseWrites(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLossy, s.delay = true, delay
}

// Heal ends the loss of answers.
func (s *LateStore) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLossy = false
}

// Lost returns the number of writes whose answers were lost.
func (s *LateStore) Lost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// ServeHTTP implements http.Handler.
func (s *LateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	isLost, delay := s.isLossy && r.Method == http.MethodPost, s.delay
	if isLost {
		s.lost++
	}
	s.mu.Unlock()
	if isLost {
		s.c.Log("store: a write gets no answer and is done %v later", delay)
		go func() {
			time.Sleep(delay)
			status := 0
			if answer, err := s.forward(r.Method, r.URL.RequestURI(), body); err == nil {
				status = answer.StatusCode
				_ = answer.Body.Close()
			}
			s.c.Log("store: the late write is done, status %d", status)
		}()
		// The connection returns nothing further.
		<-r.Context().Done()
		return
	}
	answer, err := s.forward(r.Method, r.URL.RequestURI(), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
}

func (s *LateStore) forward(method, uri string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+s.c.Store.Address()+uri, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}
