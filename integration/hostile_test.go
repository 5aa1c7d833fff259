package integration

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

const (
	hostileSeed     = 7
	shortHeaderByte = 0x40
	longHeaderByte  = 0xc0
	datagramLimit   = 1400
	repeatCount     = 50
)

// recorder is a UDP relay between a caller and the fabric that records the caller's datagrams. The caller sends to front;
// back is connected to the fabric.
type recorder struct {
	front, back *net.UDPConn
	mu          sync.Mutex
	caller      netip.AddrPort
	sent        [][]byte
}

// startRecorder starts a recorder that forwards to an address.
func startRecorder(to string) *recorder {
	GinkgoHelper()
	address, err := net.ResolveUDPAddr("udp4", to)
	Expect(err).NotTo(HaveOccurred())
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	back, err := net.DialUDP("udp4", nil, address)
	Expect(err).NotTo(HaveOccurred())
	r := &recorder{front: front, back: back}
	DeferCleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})
	go r.forwardDatagrams()
	go r.forwardAnswers()
	return r
}

func (r *recorder) forwardDatagrams() {
	buffer := make([]byte, 2048)
	for {
		n, caller, err := r.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.caller = caller
		r.sent = append(r.sent, append([]byte(nil), buffer[:n]...))
		r.mu.Unlock()
		_, _ = r.back.Write(buffer[:n])
	}
}

func (r *recorder) forwardAnswers() {
	buffer := make([]byte, 2048)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		caller := r.caller
		r.mu.Unlock()
		_, _ = r.front.WriteToUDPAddrPort(buffer[:n], caller)
	}
}

func (r *recorder) datagrams() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// sendRepeatedly sends each datagram repeatCount times to an address.
func sendRepeatedly(address string, datagrams ...[]byte) {
	GinkgoHelper()
	conn, err := net.Dial("udp4", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	for range repeatCount {
		for _, d := range datagrams {
			_, _ = conn.Write(d)
		}
	}
}

// garbageDatagrams returns datagrams of random bytes. Some of them begin with the first byte of a short or a long QUIC header,
// and some are too short for a header.
func garbageDatagrams() [][]byte {
	random := rand.New(rand.NewPCG(hostileSeed, hostileSeed))
	list := [][]byte{{}, {shortHeaderByte}, {longHeaderByte, 0, 0, 0, 1, 255}}
	for size := 2; size <= datagramLimit; size *= 2 {
		d := make([]byte, size)
		for i := range d {
			d[i] = byte(random.Uint32())
		}
		short := append([]byte{shortHeaderByte}, d...)
		long := append([]byte{longHeaderByte}, d...)
		list = append(list, d, short, long)
	}
	return list
}

// shortPacket returns a packet with a short header and the given connection ID.
func shortPacket(codec *connid.Codec, id connid.ID) []byte {
	raw := codec.Encode(id)
	return append(append([]byte{shortHeaderByte}, raw[:]...), make([]byte, 64)...)
}

func processAddress(p *emulator.Process, port int) string {
	return net.JoinHostPort(p.IP, strconv.Itoa(port))
}

const portData = 4400

func dataAddress(p *emulator.Process) netip.AddrPort {
	return netip.MustParseAddrPort(processAddress(p, portData))
}

var _ = Describe("Hostile datagrams", func() {
	var e *emulator.Emulator
	BeforeEach(func() { e = startDeployment(smallDeployment()) })

	// expectUnharmed checks that every process still runs, that the feeds are complete and that callers are served.
	expectUnharmed := func(feeds *feedGroup) {
		GinkgoHelper()
		feeds.expectComplete()
		for _, p := range append(append([]*emulator.Process(nil), e.Balancers...), e.Agents...) {
			Expect(p.IsRunning()).To(BeTrue(), p.Name)
		}
		r := sendOnNewFlow(e, emulator.PortShort, callers.Request{ID: "unharmed", Class: class.Short, Body: []byte("notice")})
		Expect(r.Outcome).To(Equal(callers.Done))
	}

	// expectCounted waits until each of the given metrics of a process has counted the repeated datagrams.
	expectCounted := func(p *emulator.Process, names ...string) {
		GinkgoHelper()
		for _, name := range names {
			Eventually(metricGetter(e, p, name), waitLimit).Should(BeNumerically(">=", repeatCount), p.Name+" "+name)
		}
	}

	It("are dropped and counted when they are random bytes", func() {
		feeds := openFeeds(e, 6, 30)
		for _, port := range []int{emulator.PortFeed, emulator.PortShort, portData} {
			sendRepeatedly(processAddress(e.Balancers[0], port), garbageDatagrams()...)
		}
		sendRepeatedly(processAddress(e.Agents[0], portData), garbageDatagrams()...)
		expectCounted(e.Balancers[0], `gentian_balancer_datagrams{verdict="malformed"`,
			`gentian_balancer_datagrams{verdict="unknown_flow"`, "gentian_balancer_dropped_bad_envelope")
		expectCounted(e.Agents[0], "gentian_agent_dropped_bad_envelope")
		expectUnharmed(feeds)
	})

	It("are dropped and counted when their connection IDs or envelopes are forged", func() {
		feeds := openFeeds(e, 6, 30)
		agent := dataAddress(e.Agents[0])
		forged := keySet(keys.Key{ID: 1, Secret: [16]byte{1}}, 1)
		forgedCodec, err := connid.NewCodec(forged)
		Expect(err).NotTo(HaveOccurred())
		validKeys, err := keys.Load(e.File(certificates.KeysFile))
		Expect(err).NotTo(HaveOccurred())
		validCodec, err := connid.NewCodec(validKeys)
		Expect(err).NotTo(HaveOccurred())
		sendRepeatedly(processAddress(e.Balancers[0], emulator.PortShort),
			shortPacket(forgedCodec, connid.ID{Agent: agent, Service: 1, Class: class.Short}),
			shortPacket(validCodec, connid.ID{Agent: netip.MustParseAddrPort("192.0.2.1:80"), Service: 1, Class: class.Short}),
			shortPacket(validCodec, connid.ID{Agent: agent, Service: 9, Class: class.Short}),
			shortPacket(validCodec, connid.ID{Agent: agent, Service: 1, Class: class.Short}),
		)
		sealed := envelope.Seal(nil, forged, envelope.Header{Kind: envelope.Deliver, Service: 1}, garbageDatagrams()[4])
		sendRepeatedly(processAddress(e.Agents[0], portData), sealed)
		sendRepeatedly(processAddress(e.Balancers[0], portData), sealed)
		expectCounted(e.Balancers[0], `gentian_balancer_datagrams{verdict="unknown_flow"`,
			`gentian_balancer_datagrams{verdict="outside_networks"`, "gentian_balancer_dropped_bad_envelope")
		expectCounted(e.Agents[0], otherServiceMetric, formerFlowMetric, "gentian_agent_dropped_bad_envelope")
		expectUnharmed(feeds)
	})

	It("cause no second run and break no flow when they are replayed or truncated", func() {
		relay := startRecorder(e.Address(emulator.PortShort))
		caller := newCaller(e, emulator.PortShort)
		request := callers.Request{
			ID: "once", Class: class.Short, Address: relay.front.LocalAddr().String(), Body: []byte("notice"),
		}
		Expect(caller.Do(GinkgoT().Context(), request).Outcome).To(Equal(callers.Done))
		feeds := openFeeds(e, 6, 30)
		recorded := relay.datagrams()
		for _, b := range e.Balancers {
			sendRepeatedly(processAddress(b, emulator.PortShort), recorded...)
			for _, d := range recorded {
				sendRepeatedly(processAddress(b, emulator.PortShort), d[:len(d)/2], d[:len(d)-1])
			}
		}
		request.ID = "next"
		Expect(caller.Do(GinkgoT().Context(), request).Outcome).To(Equal(callers.Done))
		expectUnharmed(feeds)
		total := 0
		for _, host := range e.VMsOf(e.Deployment.PoolOf(emulator.PortShort).Name) {
			total += countRuns(e, host, "once")
		}
		Expect(total).To(Equal(1))
	})
})

func keySet(key keys.Key, current uint8) *keys.Set {
	GinkgoHelper()
	set, err := keys.NewSet([]keys.Key{key}, current)
	Expect(err).NotTo(HaveOccurred())
	return set
}
