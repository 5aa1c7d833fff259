package sidecar

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"gentianswitch/internal/duty"
)

const (
	// probeChecksPerHeartbeat is the number of checks per heartbeat interval whether a probe is due.
	probeChecksPerHeartbeat = 8
	// probeTimeoutDivisor is the part of a heartbeat interval after which a probe without a result proves nothing. The target is on the
	// same VM, so a refusal comes within a millisecond.
	probeTimeoutDivisor = 4
)

// probeTarget connects to the health port of a target whose heartbeat is overdue, until ctx ends. A refusal ends the target's flows.
// Datagrams cannot show that the target is gone: the socket that sends them is not connected, so the kernel reports no ICMP errors, and
// the VM still bounces packets for a target that has stopped.
func (s *Sidecar) probeTarget(ctx context.Context) error {
	if !s.settings.ProbesTarget {
		<-ctx.Done()
		return nil
	}
	duty.Every(ctx, s.settings.Heartbeat/probeChecksPerHeartbeat, func(now time.Time) {
		s.mu.Lock()
		isDue := s.gate.StartProbe(now, s.settings.Heartbeat)
		s.mu.Unlock()
		if !isDue {
			return
		}
		isRefused := isConnectionRefused(ctx, s.settings.Target, s.settings.Heartbeat/probeTimeoutDivisor)
		s.counters.recordProbe(isRefused)
		s.mu.Lock()
		outcome := s.gate.HandleProbeResult(isRefused)
		s.mu.Unlock()
		s.resetEndedFlows("", outcome)
	})
	return nil
}

// isConnectionRefused reports whether a TCP connection to an address is refused within a time: no process listens there.
func isConnectionRefused(ctx context.Context, address netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err == nil {
		_ = connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
