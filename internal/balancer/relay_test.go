package balancer

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/store"
)

// Parameters of BenchmarkRelay.
const (
	relayRounds    = 7
	relayRoundTime = 300 * time.Millisecond
	// relayPayload is the size of a datagram in bytes.
	relayPayload = 1200
	relaySenders = 2
	// relayRatioBound is the required ratio of the balancer's rate to that of a bare relay. It is only reported.
	relayRatioBound = 0.8
)

// relay is a way to forward datagrams from a front address to the sink.
type relay struct {
	name  string
	start func(b *testing.B, sink netip.AddrPort) (front netip.AddrPort, stop func())
}

// BenchmarkRelay saturates the relays one after the other in several rounds. It reports the median of the rounds in datagrams
// per second, and its ratio to that of a bare relay with the same batching.
func BenchmarkRelay(b *testing.B) {
	relays := []relay{
		{"bare", startBare}, {"bare-with-rings", startBareWithRings},
		{"balancer", startBalancer}, {"run-to-completion", startRunToCompletion},
	}
	for b.Loop() {
		rates := make([][]relayRate, len(relays))
		for range relayRounds {
			for i, r := range relays {
				rates[i] = append(rates[i], measureRelay(b, r))
			}
		}
		bare := median(rates[0]).received
		for i, r := range relays {
			m := median(rates[i])
			b.ReportMetric(m.received, r.name+"-datagrams/s")
			b.ReportMetric(m.offered/m.received, r.name+"-offered/carried")
			b.ReportMetric(m.received/bare, r.name+"-ratio")
		}
		b.ReportMetric(relayRatioBound, "bound-ratio")
	}
}

// relayRate is the rate of datagrams sent to a relay and received by the sink, per second.
type relayRate struct{ offered, received float64 }

// median returns the rate of the round with the median of received.
func median(rates []relayRate) relayRate {
	slices.SortFunc(rates, func(a, b relayRate) int { return cmp.Compare(a.received, b.received) })
	return rates[len(rates)/2]
}

// measureRelay returns the rates while senders saturate the relay for one round.
func measureRelay(b *testing.B, r relay) relayRate {
	sink, err := openListener(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	front, stop := r.start(b, sink.localAddress())
	var received atomic.Int64
	go func() {
		in := newBatch()
		for sink.read(in) == nil {
			received.Add(int64(in.count))
		}
	}()
	var sent atomic.Int64
	var senders sync.WaitGroup
	start := time.Now()
	for range relaySenders {
		senders.Go(func() { saturate(b, front, sink.localAddress(), &sent) })
	}
	senders.Wait()
	elapsed := time.Since(start).Seconds()
	rate := relayRate{received: float64(received.Load()) / elapsed, offered: float64(sent.Load()) / elapsed}
	stop()
	sink.close()
	return rate
}

// saturate sends datagrams of an open flow at the agent as fast as possible for one round.
func saturate(b *testing.B, front, agent netip.AddrPort, sent *atomic.Int64) {
	sender, err := openListener(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	defer sender.close()
	codec, err := connid.NewCodec(relayKeys(b))
	if err != nil {
		b.Fatal(err)
	}
	id := codec.Encode(connid.ID{Agent: agent, Service: 1, Class: class.Feed})
	out := newBatch()
	for !out.isFull() {
		datagram := append(append(out.nextBuffer(), 0x40), id[:]...)
		out.appendDatagram(datagram[:relayPayload], front)
	}
	for end := time.Now().Add(relayRoundTime); time.Now().Before(end); {
		sent.Add(int64(out.count - sender.write(out)))
	}
}

func relayKeys(b *testing.B) *keys.Set {
	set, err := keys.NewSet([]keys.Key{{ID: 1}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	return set
}

func (l *listener) localAddress() netip.AddrPort {
	return addressOf(l.socket)
}

// startBare forwards with one goroutine that reads and writes batches without parsing datagrams.
func startBare(b *testing.B, sink netip.AddrPort) (netip.AddrPort, func()) {
	front, back := openPair(b)
	go func() {
		in, out := newBatch(), newBatch()
		for front.read(in) == nil {
			out.reset()
			for i := range in.count {
				out.appendDatagram(append(out.nextBuffer(), in.datagram(i)...), sink)
			}
			back.write(out)
		}
	}()
	return front.localAddress(), func() { front.close(); back.close() }
}

// startBareWithRings forwards with the goroutines and rings of a balancer, without parsing datagrams.
func startBareWithRings(b *testing.B, sink netip.AddrPort) (netip.AddrPort, func()) {
	balancer, front := newRelayBalancer(b)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = balancer.receive(ctx, front, balancer.fromCallers) }()
	go func() { _ = balancer.sendBatches(ctx, balancer.toAgents) }()
	go func() {
		for {
			received, ok := balancer.fromCallers.Get(ctx)
			if !ok {
				return
			}
			out := balancer.acquireBatch()
			out.source = balancer.dataSocket
			for i := range received.count {
				out.appendDatagram(append(out.nextBuffer(), received.datagram(i)...), sink)
			}
			balancer.releaseBatch(received)
			balancer.enqueue(balancer.toAgents, out)
		}
	}()
	return front.localAddress(), func() { cancel(); front.close(); balancer.dataSocket.close() }
}

// openPair opens the socket that receives from senders and the one that sends to the sink.
func openPair(b *testing.B) (front, back *listener) {
	front, err := openListener(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	back, err = openListener(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	return front, back
}

// newRelayBalancer returns a balancer that is not running, and its socket for senders.
func newRelayBalancer(b *testing.B) (*Balancer, *listener) {
	front, back := openPair(b)
	balancer, err := New(Settings{Data: back.localAddress()}, relayKeys(b), nil, store.NewHTTP("127.0.0.1:1"),
		events.NewDiscardLogger(), tally.NewTestScope("", nil))
	if err != nil {
		b.Fatal(err)
	}
	balancer.dataSocket = back
	balancer.listeners.addListener(front.localAddress(), front)
	return balancer, front
}

// startBalancer forwards with the goroutines of a balancer's data path, connected by rings.
func startBalancer(b *testing.B, _ netip.AddrPort) (netip.AddrPort, func()) {
	balancer, front := newRelayBalancer(b)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = balancer.receive(ctx, front, balancer.fromCallers) }()
	go func() { _ = balancer.forwardBatches(ctx) }()
	go func() { _ = balancer.sendBatches(ctx, balancer.toAgents) }()
	return front.localAddress(), func() { cancel(); front.close(); balancer.dataSocket.close() }
}

// startRunToCompletion forwards each batch in one goroutine, from the read to the write.
func startRunToCompletion(b *testing.B, _ netip.AddrPort) (netip.AddrPort, func()) {
	balancer, front := newRelayBalancer(b)
	go func() {
		for {
			received := balancer.acquireBatch()
			if front.read(received) != nil {
				return
			}
			balancer.forwardBatch(received)
			drainRing(balancer.toAgents, balancer.sendBatch)
		}
	}()
	return front.localAddress(), func() { front.close(); balancer.dataSocket.close() }
}

// BenchmarkForwardBatch measures the time to decide on and seal a datagram of an open flow, without sockets.
func BenchmarkForwardBatch(b *testing.B) {
	balancer, front := newRelayBalancer(b)
	defer front.close()
	defer balancer.dataSocket.close()
	codec, err := connid.NewCodec(relayKeys(b))
	if err != nil {
		b.Fatal(err)
	}
	id := codec.Encode(connid.ID{Agent: front.localAddress(), Service: 1, Class: class.Feed})
	received, out := newBatch(), newBatch()
	for !received.isFull() {
		received.appendDatagram(append(append(received.nextBuffer(), 0x40), id[:]...)[:relayPayload], front.localAddress())
		received.messages[received.count-1].N = relayPayload
	}
	received.source = front
	b.ReportAllocs()
	for b.Loop() {
		out.reset()
		balancer.forwardInto(received, out)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batchDatagrams), "ns/datagram")
}
