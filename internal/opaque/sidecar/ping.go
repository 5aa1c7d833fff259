package sidecar

import (
	"net/netip"
	"time"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/readers"
)

// pong answers a balancer, and tells it of the highest configuration version that a balancer has told of and of the readers
// of its group. So a balancer that does not follow the store, or is cut off from it, learns that it is behind. News of a
// reader go to the others of its group at once.
func (s *Sidecar) pong(h *hop.Header, body []byte, to netip.AddrPort) {
	report, err := hop.DecodeBalancerStatus(body)
	if err != nil {
		s.counters.malformed.Inc(1)
		return
	}
	now := time.Now()
	if report.Configuration.Version >= s.highest.Version {
		s.highest = report.Configuration
	}
	news := s.board.HandleStatus(now, h.Origin, report)
	bulletin := hop.GroupStatus{Configuration: s.highest, Uptime: now.Sub(s.startedAt)}
	if report.Group != 0 {
		bulletin.Readers = s.board.Readers(now, report.Group)
	}
	var buffer [hop.MaxGroupStatusFrame]byte
	answer := hop.Header{Kind: hop.Pong, Sequence: h.Sequence}
	s.write(answer.Append(bulletin.Append(buffer[:0])), to)
	if news == readers.NoUpdate {
		return
	}
	notice := hop.Header{Kind: hop.Notice}
	frame := notice.Append(bulletin.Append(buffer[:0]))
	for _, member := range s.board.Recipients(now, news, report) {
		s.write(frame, s.balancer(member))
	}
}
