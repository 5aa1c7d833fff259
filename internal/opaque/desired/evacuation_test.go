package desired_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/store"
)

var start = time.Unix(1_700_000_000, 0)

// version returns the version of a revision in an era.
func version(era, revision uint64) store.Version {
	v, err := store.NewVersion(era, revision)
	if err != nil {
		panic(err)
	}
	return v
}

func evacuated(zone string, at store.Version) desired.Evacuation {
	return desired.Evacuation{Zone: zone, Version: at, IsEvacuated: true}
}

func returned(zone string, at store.Version) desired.Evacuation {
	return desired.Evacuation{Zone: zone, Version: at}
}

// Guards against an older list or another balancer's older state that evacuates a zone again, or returns it to service.
func TestOlderChangeOfEvacuationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	var e desired.Evacuations
	g.Expect(e.Set(evacuated("a", version(1, 5)))).To(BeTrue())
	g.Expect(e.Set(returned("a", version(1, 4)))).To(BeFalse())
	g.Expect(e.EvacuatedZones()).To(HaveKey("a"))
	g.Expect(e.Set(returned("a", version(1, 7)))).To(BeTrue())
	g.Expect(e.Set(evacuated("a", version(1, 6)))).To(BeFalse())
	g.Expect(e.EvacuatedZones()).To(BeEmpty())
	g.Expect(e.Set(evacuated("a", version(2, 3)))).To(BeTrue(), "the revisions of a restored store begin lower")
	g.Expect(e.All()).To(Equal([]desired.Evacuation{evacuated("a", version(2, 3))}))
}

// Guards against a zone that stays evacuated because the removal of its key was not seen, and against a list that is older than the
// evacuation.
func TestListReturnsZonesThatItLacksToService(t *testing.T) {
	g := NewWithT(t)
	var e desired.Evacuations
	g.Expect(e.Set(evacuated("a", version(1, 5)))).To(BeTrue())
	g.Expect(e.Set(evacuated("b", version(1, 9)))).To(BeTrue())
	g.Expect(e.Retain(start, map[string]struct{}{}, version(1, 8))).To(Equal([]desired.Evacuation{returned("a", version(1, 8))}))
	g.Expect(e.EvacuatedZones()).To(Equal(map[string]struct{}{"b": {}}))
	g.Expect(e.Retain(start, map[string]struct{}{"b": {}}, version(1, 12))).To(BeEmpty())
}

// Guards against new flows in an evacuated zone because the restored store has lost the evacuation, which the operator writes again.
func TestEvacuationOutlastsARestoredStore(t *testing.T) {
	for name, test := range map[string]struct {
		later func(*desired.Evacuations)
		want  bool
	}{
		"the operator writes it again": {func(e *desired.Evacuations) { _, _ = e.Set(evacuated("a", version(2, 4))) }, true},
		"the operator does not":        {func(*desired.Evacuations) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var e desired.Evacuations
			g.Expect(e.Set(evacuated("a", version(1, 5)))).To(BeTrue())
			g.Expect(e.Retain(start, map[string]struct{}{}, version(2, 3))).To(BeEmpty())
			g.Expect(e.Retain(start.Add(9*time.Second), map[string]struct{}{}, version(2, 3))).To(BeEmpty())
			g.Expect(e.Expire(start.Add(9 * time.Second))).To(BeEmpty())
			test.later(&e)
			g.Expect(e.Expire(start.Add(10 * time.Second))).To(HaveLen(map[bool]int{true: 0, false: 1}[test.want]))
			g.Expect(e.Zone("a").IsEvacuated).To(Equal(test.want))
		})
	}
}

// Guards against state without a bound from keys that operators write by mistake.
func TestEvacuationsHaveBounds(t *testing.T) {
	g := NewWithT(t)
	var e desired.Evacuations
	for _, zone := range []string{"", strings.Repeat("z", 101)} {
		_, err := e.Set(evacuated(zone, version(1, 1)))
		g.Expect(err).To(MatchError(desired.ErrZoneRefused))
	}
	for n := range uint64(64) {
		g.Expect(e.Set(evacuated(fmt.Sprint("zone-", n), version(1, n+1)))).To(BeTrue())
	}
	_, err := e.Set(evacuated("one too many", version(1, 100)))
	g.Expect(err).To(MatchError(desired.ErrZoneRefused))
	g.Expect(e.Set(returned("zone-7", version(1, 101)))).To(BeTrue())
	g.Expect(e.Set(evacuated("one too many", version(1, 102)))).To(BeTrue(), "a zone in service makes room")
	g.Expect(e.All()).To(HaveLen(64))
}

// Guards against agents that decline new flows for ever: they know an evacuation, and every balancer has started after it had ended.
func TestUnknownZoneIsInServiceSinceTheLastList(t *testing.T) {
	g := NewWithT(t)
	var e desired.Evacuations
	g.Expect(e.Zone("a")).To(Equal(returned("a", 0)))
	g.Expect(e.Retain(start, map[string]struct{}{}, version(1, 8))).To(BeEmpty())
	g.Expect(e.Retain(start, map[string]struct{}{}, version(1, 6))).To(BeEmpty())
	g.Expect(e.Zone("a")).To(Equal(returned("a", version(1, 8))))
}
