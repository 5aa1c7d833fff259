package forwarder

import (
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

// Guards against rates that are rounded up, so that agents exceed the bound of the configured one, and against limits of other services.
func TestColdRateOfTarget(t *testing.T) {
	for configured, sent := range map[float64]uint16{40: 40, 40.9: 40, 0.3: 1, 1e9: 65535, 0: 0, -5: 0} {
		g := NewWithT(t)
		f := New(Settings{Data: netip.MustParseAddrPort("127.30.0.1:1")}, Dependencies{Log: events.NewDiscardLogger(), Scope: tally.NoopScope})
		agent, other, now := hop.IP{127, 30, 0, 2}, hop.IP{127, 30, 0, 3}, time.Now()
		f.directory.HandleEntry(now, agent, registry.Entry{Service: "pedidos", Slots: 5}, store.Version(1))
		f.directory.HandleEntry(now, other, registry.Entry{Service: "envios", Slots: 5}, store.Version(2))
		g.Expect(f.coldRateOf(agent)).To(BeZero(), "there is no configuration yet")
		table := desired.NewTable(7)
		table.SetColdRate(desired.ServiceKeyOf("pedidos"), configured)
		f.steer.SetTable(now, table)
		g.Expect(f.coldRateOf(agent)).To(Equal(sent))
		g.Expect(f.coldRateOf(other)).To(BeZero())
	}
}
