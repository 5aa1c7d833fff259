package store_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/store"
)

func version(t *testing.T, era, revision uint64) store.Version {
	t.Helper()
	v, err := store.NewVersion(era, revision)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect([]uint64{v.Era(), v.Revision()}).To(Equal([]uint64{era, revision}))
	return v
}

// Guards against versions of a restored store that count as older, because its revisions go back.
func TestVersionsOfRestoredStoreAreAboveEarlierOnes(t *testing.T) {
	g := NewWithT(t)
	ordered := []store.Version{
		version(t, 0, 0), version(t, 0, 7), version(t, 1, 0), version(t, 1, 18), version(t, 1, 1<<48-1), version(t, 2, 3),
		version(t, 1<<16-1, 1),
	}
	for i := range ordered[1:] {
		g.Expect(ordered[i]).To(BeNumerically("<", ordered[i+1]))
	}
	g.Expect(version(t, 2, 18).InEra(1)).To(Equal(version(t, 1, 18)))
}

func TestVersionsOutOfRangeAreErrors(t *testing.T) {
	g := NewWithT(t)
	for _, out := range [][2]uint64{{1 << 16, 1}, {1, 1 << 48}, {math.MaxUint64, math.MaxUint64}} {
		_, err := store.NewVersion(out[0], out[1])
		g.Expect(err).To(MatchError(store.ErrVersionRange), "%v", out)
	}
}
