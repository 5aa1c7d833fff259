package crest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMaxCreditOfFewJobs(t *testing.T) {
	const second = float64(1)
	for name, test := range map[string]struct {
		capacity []float64
		jobs     []job
		want     float64
	}{
		"there is room":            {[]float64{second, second}, []job{{0, 2, 1, 5}, {0, 2, 1, 3}}, 8},
		"only the better one fits": {[]float64{second, 0}, []job{{0, 2, 1, 5}, {0, 2, 1, 3}}, 5},
		"credit per work counts":   {[]float64{second}, []job{{0, 1, 1, 5}, {0, 1, 0.5, 4}}, 4 + 2.5},
		"windows split the work":   {[]float64{second, second}, []job{{0, 1, 1, 5}, {1, 2, 1, 3}, {0, 2, 1, 2}}, 8},
		"a later window helps":     {[]float64{second, second}, []job{{0, 1, 1, 5}, {0, 2, 1, 4}}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(maxCredit(test.capacity, test.jobs)).To(BeNumerically("~", test.want, 1e-9))
		})
	}
}

func TestCreditBoundIsAtLeastWhatOneSlotServes(t *testing.T) {
	g := NewWithT(t)
	class := Class{Objective: 100 * time.Millisecond, Deadline: 200 * time.Millisecond, OnTimeCredit: 2, LateCredit: 1}
	p := Profile{Length: time.Second, Zones: 1, Balancers: 1, Targets: 1, Slots: 1, ColdFactor: 1, Classes: []Class{class}}
	var requests []*request
	for i := range 4 {
		requests = append(requests, &request{
			class: &class, arrivedAt: time.Duration(i) * time.Millisecond, serviceTime: 50 * time.Millisecond, callerIndex: -1,
		})
	}
	// In the order of arrival, two are in time (50 ms and 100 ms after the first) and two late.
	g.Expect(creditBound(p, requests)).To(BeNumerically(">=", 6))
	g.Expect(creditBound(p, requests)).To(BeNumerically("<=", 7), "the first 120 ms hold at most two runs and a half")
}
