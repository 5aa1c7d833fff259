package envelope_test

import (
	"bytes"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/class"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/keys"
)

var (
	oldKey        = keys.Key{ID: 1, Secret: [keys.SecretSize]byte{1, 2, 3}}
	newKey        = keys.Key{ID: 2, Secret: [keys.SecretSize]byte{9, 8, 7}}
	deliverHeader = envelope.Header{
		Kind: envelope.Deliver, Class: class.Feed, Service: 300,
		Caller: netip.MustParseAddrPort("192.0.2.9:50000"), Address: netip.MustParseAddrPort("198.51.100.1:443"),
		Balancer: netip.MustParseAddrPort("10.0.0.1:4400"), SecondCandidate: netip.MustParseAddrPort("10.0.0.2:4400"),
	}
)

func newSet(t testing.TB, current uint8, list ...keys.Key) *keys.Set {
	t.Helper()
	s, err := keys.NewSet(list, current)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func anyAddress(t *rapid.T, name string) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, name+" port"))
}

func TestOpenReturnsWhatWasSealed(t *testing.T) {
	s := newSet(t, 1, oldKey)
	rapid.Check(t, func(t *rapid.T) {
		header := envelope.Header{
			Kind:    envelope.Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
			Class:   rapid.SampledFrom(class.All).Draw(t, "class"),
			Service: rapid.Uint16().Draw(t, "service"),
			Caller:  anyAddress(t, "caller"), Address: anyAddress(t, "address"), Balancer: anyAddress(t, "balancer"),
		}
		if rapid.Bool().Draw(t, "has second") {
			header.SecondCandidate = anyAddress(t, "second")
		}
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		sealed := envelope.Seal([]byte("before"), s, header, payload)
		if len(sealed) > len("before")+len(payload)+envelope.MaxOverhead {
			t.Fatalf("overhead of %d bytes", len(sealed)-len(payload)-len("before"))
		}
		opened, rest, err := envelope.Open(s, sealed[len("before"):])
		if err != nil || opened != header || !bytes.Equal(rest, payload) {
			t.Fatalf("opened %+v, %x, %v; expected %+v, %x", opened, rest, err, header, payload)
		}
	})
}

func TestOpenRejectsAnyChangeOfTheHeader(t *testing.T) {
	s := newSet(t, 1, oldKey)
	sealed := envelope.Seal(nil, s, deliverHeader, nil)
	for i := range sealed {
		for bit := range 8 {
			forged := bytes.Clone(sealed)
			forged[i] ^= 1 << bit
			if _, _, err := envelope.Open(s, forged); err == nil {
				t.Errorf("byte %d bit %d: a forged header was accepted", i, bit)
			}
		}
		if _, _, err := envelope.Open(s, sealed[:i]); err == nil {
			t.Errorf("a header truncated to %d bytes was accepted", i)
		}
	}
}

// Code that uses a header relies on the fields that its kind requires, so Open must reject a header that lacks one even
// when its tag is valid.
func TestOpenRejectsIncompleteHeaders(t *testing.T) {
	s := newSet(t, 1, oldKey)
	tests := []struct {
		name   string
		change func(h *envelope.Header)
	}{
		{"kind 0", func(h *envelope.Header) { h.Kind = 0 }},
		{"kind above the last one", func(h *envelope.Header) { h.Kind = envelope.Leave + 1 }},
		{"leave without balancer", func(h *envelope.Header) { h.Kind, h.Balancer = envelope.Leave, netip.AddrPort{} }},
		{"deliver without class", func(h *envelope.Header) { h.Class = 0 }},
		{"deliver without caller", func(h *envelope.Header) { h.Caller = netip.AddrPort{} }},
		{"deliver without address", func(h *envelope.Header) { h.Address = netip.AddrPort{} }},
		{"redirect without caller", func(h *envelope.Header) { h.Kind, h.Caller = envelope.Redirect, netip.AddrPort{} }},
		{"return without caller", func(h *envelope.Header) { h.Kind, h.Caller = envelope.Return, netip.AddrPort{} }},
		{"return without address", func(h *envelope.Header) { h.Kind, h.Address = envelope.Return, netip.AddrPort{} }},
		{"heartbeat without balancer", func(h *envelope.Header) { h.Kind, h.Balancer = envelope.Heartbeat, netip.AddrPort{} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := deliverHeader
			test.change(&header)
			if _, _, err := envelope.Open(s, envelope.Seal(nil, s, header, nil)); err != envelope.ErrMalformed {
				t.Errorf("got %v, expected %v", err, envelope.ErrMalformed)
			}
		})
	}
}

func TestOpenAcceptsEveryKeyOfTheSet(t *testing.T) {
	sealed := envelope.Seal(nil, newSet(t, 1, oldKey), deliverHeader, []byte("payload"))
	tests := []struct {
		name string
		set  *keys.Set
		want error
	}{
		{"both keys, the new one current", newSet(t, 2, oldKey, newKey), nil},
		{"the old key removed", newSet(t, 2, newKey), envelope.ErrKey},
		{"key with the same ID and another secret", newSet(t, 1, keys.Key{ID: 1, Secret: newKey.Secret}), envelope.ErrTag},
	}
	for _, test := range tests {
		if _, _, err := envelope.Open(test.set, sealed); err != test.want {
			t.Errorf("%s: got %v, expected %v", test.name, err, test.want)
		}
	}
}

// The tag covers the header only and there is no replay protection: a recorded header is accepted again with any payload.
// See docs/design/placement.md.
func TestReplayIsAcceptedWithAnyPayload(t *testing.T) {
	s := newSet(t, 1, oldKey)
	sealed := envelope.Seal(nil, s, deliverHeader, []byte("first"))
	replayed := bytes.Clone(sealed[:len(sealed)-len("first")])
	replayed = append(replayed, "another"...)
	header, payload, err := envelope.Open(s, replayed)
	if err != nil || header != deliverHeader || string(payload) != "another" {
		t.Errorf("got %+v, %q, %v", header, payload, err)
	}
}

func FuzzOpen(f *testing.F) {
	s := newSet(f, 1, oldKey)
	f.Add(envelope.Seal(nil, s, deliverHeader, []byte("payload")))
	f.Add(envelope.Seal(nil, s, envelope.Header{Kind: envelope.Heartbeat, Balancer: deliverHeader.Balancer}, nil))
	f.Add([]byte{1, 1})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		header, payload, err := envelope.Open(s, datagram)
		if err != nil {
			return
		}
		if again, rest, err := envelope.Open(s, envelope.Seal(nil, s, header, payload)); err != nil || again != header || !bytes.Equal(rest, payload) {
			t.Errorf("accepted %+v, which seals to %+v, %v", header, again, err)
		}
	})
}
