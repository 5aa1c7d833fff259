package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Paths and query parameters of the HTTP protocol, described in docs/design/store.md.
const (
	PathKeys      = "/v1/keys/"
	PathLeases    = "/v1/leases"
	HeaderVersion = "Store-Version"
	QueryVersion  = "version"
	QueryLease    = "lease"
	QueryAfter    = "after"
	QueryWait     = "wait_ms"
	QueryTTL      = "ttl_ms"
	// maxReplyOverhead is the number of bytes beyond MaxValueSize that are read of a reply.
	maxReplyOverhead = 4096
	defaultTimeout   = 2 * time.Second
)

// LeaseReply is the JSON body of the reply to a granted lease.
type LeaseReply struct {
	Lease LeaseID `json:"lease"`
}

// HTTP is a Store that calls a service by HTTP and JSON.
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a store that calls the service at address (host:port). Each call but a watch times out after 2 s.
func NewHTTP(address string) *HTTP {
	return &HTTP{base: "http://" + address, client: &http.Client{}, timeout: defaultTimeout}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.fetchEntry(ctx, PathKeys+url.PathEscape(key), "get")
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+h.timeout)
	defer cancel()
	query := url.Values{
		QueryAfter: {strconv.FormatUint(uint64(after), 10)},
		QueryWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return h.fetchEntry(ctx, PathKeys+url.PathEscape(key)+"?"+query.Encode(), "watch")
}

func (h *HTTP) fetchEntry(ctx context.Context, path, operation string) (Entry, error) {
	status, header, body, err := h.call(ctx, http.MethodGet, path, nil, operation)
	if err != nil {
		return Entry{}, err
	}
	if status != http.StatusOK {
		return Entry{}, h.statusError(status, operation)
	}
	version, err := parseVersion(header)
	return Entry{Value: body, Version: version}, eris.Wrapf(err, "store %s at %s", operation, h.base)
}

// CompareAndSwap implements Store.
func (h *HTTP) CompareAndSwap(
	ctx context.Context, key string, version Version, value []byte, lease LeaseID,
) (Version, error) {
	if len(value) > MaxValueSize {
		return 0, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	query := url.Values{QueryVersion: {strconv.FormatUint(uint64(version), 10)}}
	if lease != 0 {
		query.Set(QueryLease, strconv.FormatUint(uint64(lease), 10))
	}
	const operation = "compare-and-swap"
	path := PathKeys + url.PathEscape(key) + "?" + query.Encode()
	status, header, _, err := h.call(ctx, http.MethodPut, path, value, operation)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, h.statusError(status, operation)
	}
	next, err := parseVersion(header)
	return next, eris.Wrapf(err, "store %s at %s", operation, h.base)
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	const operation = "grant lease"
	query := url.Values{QueryTTL: {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	status, _, body, err := h.call(ctx, http.MethodPost, PathLeases+"?"+query.Encode(), nil, operation)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, h.statusError(status, operation)
	}
	var reply LeaseReply
	err = json.Unmarshal(body, &reply)
	return reply.Lease, eris.Wrapf(err, "store %s at %s", operation, h.base)
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, lease LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	const operation = "keep lease alive"
	path := PathLeases + "/" + strconv.FormatUint(uint64(lease), 10)
	status, _, _, err := h.call(ctx, http.MethodPut, path, nil, operation)
	if err == nil && status != http.StatusOK {
		err = h.statusError(status, operation)
	}
	return err
}

// call sends a request and returns the status, the header and the body of the reply.
func (h *HTTP) call(
	ctx context.Context, method, path string, body []byte, operation string,
) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, eris.Wrapf(err, "store %s at %s", operation, h.base)
	}
	reply, err := h.client.Do(request)
	if isDialError(err) {
		return 0, nil, nil, eris.Wrapf(ErrNotSent, "store %s at %s: %v", operation, h.base, err)
	}
	if err != nil {
		return 0, nil, nil, eris.Wrapf(err, "store %s at %s", operation, h.base)
	}
	defer func() { _ = reply.Body.Close() }()
	replyBody, err := io.ReadAll(io.LimitReader(reply.Body, MaxValueSize+maxReplyOverhead))
	return reply.StatusCode, reply.Header, replyBody, eris.Wrapf(err, "store %s at %s", operation, h.base)
}

// isDialError reports whether a call failed before a connection was established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (h *HTTP) statusError(status int, operation string) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return eris.Errorf("store %s at %s: status %d", operation, h.base, status)
	}
}

func parseVersion(header http.Header) (Version, error) {
	version, err := strconv.ParseUint(header.Get(HeaderVersion), 10, 64)
	return Version(version), eris.Wrap(err, "parse version")
}
