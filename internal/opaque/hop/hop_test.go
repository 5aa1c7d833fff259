package hop_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/hop"
)

func header() hop.Header {
	h := hop.Header{
		Kind: hop.Forward, Origin: hop.IP{10, 1, 0, 10}, Service: 0x1122334455667788, Sequence: 7, Epoch: 513,
		IsRevalidated: true, MayBeOpen: true, Objective: 250, BusyCount: 2, LeastLoaded: hop.IP{10, 3, 0, 4}, LowestLoad: 17,
		MustAccept: true, RunsOnce: true, PriorityOffset: 1, CandidatesTried: 3, Hops: 1, CandidateCount: 2,
	}
	h.Candidates[0], h.Candidates[1] = hop.IP{10, 1, 0, 13}, hop.IP{10, 2, 0, 9}
	return h
}

func TestHeaderRoundTrip(t *testing.T) {
	g := NewWithT(t)
	h := header()
	var decoded hop.Header
	body, err := decoded.Decode(h.Append([]byte("datagram")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("datagram"))
	g.Expect(decoded).To(Equal(h))
}

func TestLargestFrameFitsEthernetFrame(t *testing.T) {
	g := NewWithT(t)
	const ethernetPayload, ipAndUDP, largestDatagram = 1500, 28, 1232
	g.Expect(largestDatagram + hop.MaxTrailer).To(BeNumerically("<=", ethernetPayload-ipAndUDP))
}

func TestCandidatesAreRemovedInOrder(t *testing.T) {
	g := NewWithT(t)
	h := header()
	for _, want := range []hop.IP{{10, 1, 0, 13}, {10, 2, 0, 9}} {
		next, ok := h.PopCandidate()
		g.Expect(ok).To(BeTrue())
		g.Expect(next).To(Equal(want))
	}
	_, ok := h.PopCandidate()
	g.Expect(ok).To(BeFalse())
	g.Expect(h.Hops).To(BeEquivalentTo(3))
}

func TestDecodeRejectsMalformedFrames(t *testing.T) {
	h := header()
	whole := h.Append(nil)
	tooMany := append([]byte(nil), whole...)
	tooMany[len(tooMany)-2] = hop.MaxCandidates + 1
	unknown := append([]byte(nil), whole...)
	unknown[len(unknown)-1] = byte(hop.EntryUnreadable) + 1
	for name, raw := range map[string][]byte{
		"empty": nil, "short": whole[len(whole)-5:], "missing candidates": whole[len(whole)-29:],
		"too many candidates": tooMany, "unknown kind": unknown,
	} {
		t.Run(name, func(t *testing.T) {
			var decoded hop.Header
			_, err := decoded.Decode(raw)
			NewWithT(t).Expect(err).To(MatchError(hop.ErrMalformed))
		})
	}
}

func TestConfigurationSourceRoundTrip(t *testing.T) {
	g := NewWithT(t)
	s := hop.ConfigurationSource{Version: 98, Holder: hop.IP{10, 2, 0, 22}}
	decoded, err := hop.DecodeConfigurationSource(s.Append(nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(s))
	_, err = hop.DecodeConfigurationSource([]byte("short"))
	g.Expect(err).To(MatchError(hop.ErrMalformed))
}

func FuzzDecode(f *testing.F) {
	h := header()
	f.Add(h.Append([]byte("datagram")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var decoded hop.Header
		body, err := decoded.Decode(raw)
		if err != nil {
			return
		}
		if encoded := decoded.Append(append([]byte(nil), body...)); string(encoded) != string(raw) {
			t.Fatalf("frame %x was decoded and encoded as %x", raw, encoded)
		}
	})
}

func TestStatusRoundTrip(t *testing.T) {
	g := NewWithT(t)
	configuration := hop.ConfigurationSource{Version: 7, Holder: hop.IP{10, 1, 0, 9}}
	balancerStatus := hop.BalancerStatus{Configuration: configuration, Group: 4711, IsWatching: true, Revision: 88}
	g.Expect(hop.DecodeBalancerStatus(balancerStatus.Append(nil))).To(Equal(balancerStatus))
	groupStatus := hop.GroupStatus{Configuration: configuration, Uptime: 90 * time.Second, Readers: []hop.Reader{
		{Balancer: hop.IP{10, 1, 0, 9}, Age: 120 * time.Millisecond, Revision: 88},
		{Balancer: hop.IP{10, 1, 0, 8}, Age: 700 * time.Millisecond, Revision: 80},
	}}
	g.Expect(hop.DecodeGroupStatus(groupStatus.Append(nil))).To(Equal(groupStatus))
	withLongAge := hop.GroupStatus{Readers: []hop.Reader{{Age: time.Hour}}}
	decoded, err := hop.DecodeGroupStatus(withLongAge.Append(nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Readers[0].Age).To(BeNumerically("~", 65*time.Second, time.Second), "a long age is capped and does not wrap")
}

func TestDecodeRejectsMalformedStatus(t *testing.T) {
	g := NewWithT(t)
	_, err := hop.DecodeBalancerStatus(make([]byte, 24))
	g.Expect(err).To(MatchError(hop.ErrMalformed))
	for _, size := range []int{0, 13, 15, 14 + 14*(hop.MaxReaders+1)} {
		_, err = hop.DecodeGroupStatus(make([]byte, size))
		g.Expect(err).To(MatchError(hop.ErrMalformed))
	}
}

func FuzzDecodeGroupStatus(f *testing.F) {
	f.Add(hop.GroupStatus{Readers: []hop.Reader{{Revision: 1}}}.Append(nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if status, err := hop.DecodeGroupStatus(raw); err == nil && len(status.Readers) > hop.MaxReaders {
			t.Fatal(len(status.Readers))
		}
	})
}

// Guards against fields of a status that are lost on the wire, or read from each other's bytes.
func TestBalancerStatusSurvivesEncoding(t *testing.T) {
	g := NewWithT(t)
	for _, flags := range [][2]bool{{false, false}, {true, false}, {false, true}, {true, true}} {
		status := hop.BalancerStatus{
			Configuration: hop.ConfigurationSource{Version: 1 << 40, Holder: hop.IP{10, 1, 2, 3}}, Group: 1 << 30, IsWatching: flags[0],
			Revision: 1<<50 + 1, Evacuation: 1<<51 + 2, IsEvacuated: flags[1], ColdRate: 1<<15 + 3,
		}
		g.Expect(hop.DecodeBalancerStatus(status.Append(nil))).To(Equal(status))
	}
	_, err := hop.DecodeBalancerStatus(make([]byte, 3))
	g.Expect(err).To(MatchError(hop.ErrMalformed))
}
