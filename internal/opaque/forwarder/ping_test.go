package forwarder

import (
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// agentCount is above the number of hubs of a group.
const agentCount = 6

// listenAsAgents opens a socket for each agent, all at one port, and returns them with that port.
func listenAsAgents(t *testing.T) ([]*net.UDPConn, uint16) {
	t.Helper()
	var sockets []*net.UDPConn
	port := 0
	for n := range byte(agentCount) {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 30, 0, n+2), Port: port})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = socket.Close() })
		sockets, port = append(sockets, socket), socket.LocalAddr().(*net.UDPAddr).Port
	}
	return sockets, uint16(port)
}

// Guards against agents that notice a restored store late or never: only those through which balancers exchange their status
// were told up to which version balancers have applied its changes. The rate of cold targets has to reach every agent, too.
func TestEveryPingContainsTheVersionOfTheView(t *testing.T) {
	g := NewWithT(t)
	sockets, port := listenAsAgents(t)
	self := netip.AddrFrom4([4]byte{127, 30, 0, 1})
	f := New(Settings{Data: netip.AddrPortFrom(self, port), Peer: netip.AddrPortFrom(self, 0)},
		Dependencies{Log: events.NewDiscardLogger(), Scope: tally.NoopScope})
	g.Expect(f.open()).To(Succeed())
	defer f.close()
	now := time.Now()
	f.appliedRevision = store.Version(18).InEra(3)
	table := desired.NewTable(7)
	table.SetColdRate(desired.ServiceKeyOf("pedidos"), 40)
	f.steer.SetTable(now, table)
	for n := range byte(agentCount) {
		agent := hop.IP{127, 30, 0, n + 2}
		f.directory.HandleEntry(now, agent, registry.Entry{Service: "pedidos", Slots: 5}, store.Version(n+1).InEra(3))
		f.directory.RecordUse(now, agent)
	}
	f.tick(now)
	for _, socket := range sockets {
		g.Expect(socket.SetReadDeadline(now.Add(10 * time.Second))).To(Succeed())
		var buffer [hop.MaxGroupStatusFrame + 100]byte
		size, _, err := socket.ReadFromUDPAddrPort(buffer[:])
		g.Expect(err).NotTo(HaveOccurred())
		var h hop.Header
		body, err := h.Decode(buffer[:size])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.Kind).To(Equal(hop.Ping))
		status, err := hop.DecodeBalancerStatus(body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(store.Version(status.Revision)).To(Equal(store.Version(18).InEra(3)))
		g.Expect(status.ColdRate).To(BeEquivalentTo(40))
	}
}
