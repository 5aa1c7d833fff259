package handover_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/handover"
	"gentianswitch/internal/store"
	"gentianswitch/platform/standin"
)

// serve runs a server on loopback whose state depends on the request, and returns its address.
func serve(t *testing.T, current func(handover.Request) handover.State) netip.AddrPort {
	t.Helper()
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(free.Addr().String())
	_ = free.Close()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := handover.Server{Current: current, Failed: func(err error) { t.Log(err) }}
	go func() { _ = server.Run(ctx, address) }()
	return address
}

func fetch(address netip.AddrPort, request handover.Request) (state handover.State, err error) {
	for range 50 {
		if state, err = handover.Fetch(context.Background(), address, request); err == nil {
			return state, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return state, err
}

func TestAStateArrivesWhole(t *testing.T) {
	g := NewWithT(t)
	sent := handover.State{
		At: 70, Configuration: handover.Item{Key: "c", Value: []byte("v"), Version: 60},
		Targets: []handover.Item{{Key: "t", Value: []byte("e"), Version: 50}},
	}
	address := serve(t, func(r handover.Request) handover.State {
		if r.Configuration == 60 {
			return handover.State{At: 70, Targets: sent.Targets}
		}
		return sent
	})
	g.Expect(fetch(address, handover.Request{})).To(Equal(sent))
	known := handover.Request{Configuration: 60}
	partial, err := fetch(address, known)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(partial.Configuration.Version).To(BeZero(), "the balancer holds it")
	g.Expect(partial.IsComplete(known)).To(BeTrue())
	g.Expect(partial.IsComplete(handover.Request{})).To(BeFalse())
}

// document returns a configuration of the operators' size and form.
func document(routes int) []byte {
	var raw bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&raw, `{"name":"r-%d","hostname":"198.18.%d.%d","prefix":"/%d/","type":"unsafe","timeout_ms":4000},`,
			i, i/250, i%250, 1000+i)
	}
	return raw.Bytes()
}

func TestAConfigurationIsPackedToAFraction(t *testing.T) {
	g := NewWithT(t)
	value := document(3000)
	packed, err := handover.Pack(value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", len(value)/5))
	g.Expect(handover.Unpack(packed)).To(Equal(value))
}

func TestWhatCannotBeUnpackedIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := handover.Unpack([]byte("no packed value"))
	g.Expect(err).To(HaveOccurred())
	bomb, err := handover.Pack(make([]byte, 8*store.MaxValueSize))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handover.Unpack(bomb)
	g.Expect(err).To(MatchError(handover.ErrTooLarge))
}

// The pattern is a common start: 60 balancers on narrow links ask the one that knows 3,000 routes, whose answer takes longer
// than the time without progress.
func TestManyStartsOnNarrowLinksAreAnswered(t *testing.T) {
	g := NewWithT(t)
	packed, err := handover.Pack(document(3000))
	g.Expect(err).NotTo(HaveOccurred())
	address := serve(t, func(handover.Request) handover.State {
		return handover.State{At: 9, Configuration: handover.Item{Key: "c", Value: packed, Version: 8}}
	})
	g.Expect(fetch(address, handover.Request{})).To(HaveField("At", BeEquivalentTo(9)))
	const starts = 60
	informed := make(chan error, starts)
	for range starts {
		narrow, err := standin.NewProxy(address.String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(narrow.Close)
		narrow.Set(standin.Narrow)
		go func() {
			_, err := fetch(netip.MustParseAddrPort(narrow.Address()), handover.Request{})
			informed <- err
		}()
	}
	for range starts {
		g.Expect(<-informed).To(Succeed())
	}
}

func TestABalancerThatSaysNothingIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = silent.Close() })
	_, err = handover.Fetch(context.Background(), netip.MustParseAddrPort(silent.Addr().String()), handover.Request{})
	g.Expect(err).To(HaveOccurred())
}

func FuzzUnpack(f *testing.F) {
	packed, err := handover.Pack(document(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if value, err := handover.Unpack(raw); err == nil && len(value) > store.MaxValueSize {
			t.Fatalf("%d bytes", len(value))
		}
	})
}
