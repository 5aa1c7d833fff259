package crest

import (
	"slices"
	"time"
)

// Patterns returns the predefined profiles: one small deployment with one kind of fault each.
func Patterns() []Profile {
	return []Profile{
		newPattern("common return after a loss of power", Fault{Kind: PowerLoss, At: 2 * time.Second, For: time.Second}),
		newPattern("long dark", Fault{Kind: PowerLoss, At: 2 * time.Second, For: 1600 * time.Millisecond}),
		newPattern("kill with live targets", Fault{Kind: Restart, At: 2 * time.Second, For: 300 * time.Millisecond}),
		newPattern("burst of one class", Fault{Kind: Burst, At: 2 * time.Second, For: 3 * time.Second, Factor: 3, Class: "booking"}),
		newPattern("burst of all", Fault{Kind: Burst, At: 2 * time.Second, For: 2 * time.Second, Factor: 3}),
		newPattern("release", Fault{Kind: Release, At: 2 * time.Second, For: time.Second, Share: 0.5}),
		newPattern("slow targets", Fault{Kind: Slow, At: 2 * time.Second, For: 4 * time.Second, Share: 0.3, Factor: 5}),
		newPattern("grey targets", Fault{Kind: Grey, At: 2 * time.Second, For: 4 * time.Second, Share: 0.2}),
		newPattern("flapping targets", Fault{Kind: Flap, At: 2 * time.Second, For: time.Second, Share: 0.3}),
		newPattern("shift between zones", Fault{Kind: Shift, At: 2 * time.Second, For: 4 * time.Second, Share: 0.8}),
	}
}

// PatternByName returns the predefined profile with the given name. It reports false when there is none.
func PatternByName(name string) (Profile, bool) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Profile) bool { return p.Pattern == name })
	if i < 0 {
		return Profile{}, false
	}
	return all[i], true
}

// newPattern returns a small deployment at half of its capacity, with short objectives and the given faults.
func newPattern(name string, faults ...Fault) Profile {
	return Profile{
		Pattern: name, Length: 8 * time.Second, Zones: 3, Balancers: 5, Targets: 7, Slots: 3, Backlog: 12,
		ColdDuration: 2 * time.Second, ColdFactor: 1.6, CallerDelay: 3 * time.Millisecond, VMDelay: 900 * time.Microsecond,
		Classes: []Class{
			{
				Name: "feed", PerSecond: 290, MeanServiceTime: 22 * time.Millisecond, LogSigma: 0.5, Objective: 120 * time.Millisecond,
				Deadline: 1200 * time.Millisecond, OnTimeCredit: 1, LateCredit: 0.3, Priority: 2, Retries: 2, IsIdempotent: true,
				PersistentCallers: 290,
			},
			{
				Name: "booking", PerSecond: 85, MeanServiceTime: 29 * time.Millisecond, LogSigma: 0.5, Objective: 150 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, OnTimeCredit: 2, LateCredit: 0.6, Priority: 1, Retries: 2,
			},
			{
				Name: "without traffic", MeanServiceTime: time.Millisecond, Objective: time.Second, Deadline: time.Second, OnTimeCredit: 1,
			},
		},
		Faults: faults,
	}
}
