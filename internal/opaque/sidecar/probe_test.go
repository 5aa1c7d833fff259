package sidecar

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// Guards against a connection that counts as refused although a process listens, which would reset the flows of a running target, and
// against a refusal that is not recognized.
func TestOnlyARefusedConnectionCounts(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	if isConnectionRefused(t.Context(), address, time.Minute) {
		t.Error("a listening target refuses")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if isConnectionRefused(canceled, address, time.Minute) {
		t.Error("an attempt that was canceled counts as refused")
	}
	if isConnectionRefused(t.Context(), address, time.Nanosecond) {
		t.Error("a timeout counts as refused")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !isConnectionRefused(t.Context(), address, time.Minute) {
		t.Error("a target that is gone does not refuse")
	}
}
