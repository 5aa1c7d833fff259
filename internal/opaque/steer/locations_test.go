package steer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/steer"
)

// Each case guards against an opening packet that follows the location of an earlier flow from the same port, and so opens its flow where
// the table in force does not lead. The located flow has the opening 0 at agent 8 of the service "former".
func TestOpeningPacketOfAPortUsedAgainIgnoresTheLocationOfTheEarlierFlow(t *testing.T) {
	known := openingPacket().Opening()
	for name, test := range map[string]struct {
		opening         flow.Opening
		services        []string
		sequence, count uint32
		follows         bool
		// keeps is set if the location remains for packets of the open flow.
		keeps bool
	}{
		"first copy of a new flow":                         {known, []string{"new", "former"}, 9, 0, false, false},
		"repeated copy of a new flow":                      {known, []string{"new", "former"}, 9, 1, false, true},
		"repeated copy of the located flow":                {known, []string{"new", "former"}, 0, 1, true, true},
		"doubled first copy of the located flow":           {known, []string{"new", "former"}, 0, 0, true, true},
		"repeated copy after the route has moved":          {known, []string{"new"}, 0, 1, false, true},
		"repeated copy, opening of the flow not known":     {flow.Opening{}, []string{"new", "former"}, 0, 1, false, true},
		"repeated copy of the located flow, only its pool": {known, []string{"former"}, 0, 1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			newBalancer := func() *steer.Machine {
				s, d := newMachine()
				addTargets(s, d, "new", 1, 2, 3)
				addTargets(s, d, "former", 7, 8, 9)
				s.SetTable(start, tableTo(2, test.services...))
				return s
			}
			s := newBalancer()
			s.SetLocation(start, openingPacket().IDFromCaller(), test.opening, agent(8), desired.ServiceKeyOf("former"))
			p := openingPacket()
			p.Sequence, p.Retransmissions = test.sequence, test.count
			opened := s.Decide(start, p)
			g.Expect(opened.Reason == steer.KnownLocation).To(Equal(test.follows))
			if !test.follows {
				unaware := newBalancer().Decide(start, p)
				g.Expect(opened.Agent).To(Equal(unaware.Agent), "as without a location")
				g.Expect(opened.Header.Service).To(Equal(unaware.Header.Service))
			}
			g.Expect(s.Decide(start, dataPacket()).Reason == steer.KnownLocation).To(Equal(test.keeps))
		})
	}
}
