package crest

import (
	"slices"
	"time"
)

// Patterns returns the loads that have a name.
func Patterns() []Profile {
	return []Profile{
		pattern("common return after a loss of power", Fault{Kind: PowerLoss, At: 2 * time.Second, For: time.Second}),
		pattern("long dark", Fault{Kind: PowerLoss, At: 2 * time.Second, For: 1600 * time.Millisecond}),
		pattern("kill with live targets", Fault{Kind: Restart, At: 2 * time.Second, For: 300 * time.Millisecond}),
		pattern("burst of one class", Fault{Kind: Burst, At: 2 * time.Second, For: 3 * time.Second, Factor: 3, Class: "booking"}),
		pattern("burst of all", Fault{Kind: Burst, At: 2 * time.Second, For: 2 * time.Second, Factor: 3}),
		pattern("release", Fault{Kind: Release, At: 2 * time.Second, For: time.Second, Share: 0.5}),
		pattern("slow targets", Fault{Kind: Slow, At: 2 * time.Second, For: 4 * time.Second, Share: 0.3, Factor: 5}),
		pattern("grey targets", Fault{Kind: Grey, At: 2 * time.Second, For: 4 * time.Second, Share: 0.2}),
		pattern("flapping targets", Fault{Kind: Flap, At: 2 * time.Second, For: time.Second, Share: 0.3}),
		pattern("shift between zones", Fault{Kind: Shift, At: 2 * time.Second, For: 4 * time.Second, Share: 0.8}),
	}
}

// Named returns the pattern with a name. It reports false when there is none.
func Named(name string) (Profile, bool) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Profile) bool { return p.Pattern == name })
	if i < 0 {
		return Profile{}, false
	}
	return all[i], true
}

// pattern returns a small deployment at half of its capacity, with short objectives, in which something happens.
func pattern(name string, faults ...Fault) Profile {
	return Profile{
		Pattern: name, Length: 8 * time.Second, Zones: 3, Balancers: 5, Targets: 7, Slots: 3, Backlog: 12,
		ColdFor: 2 * time.Second, ColdFactor: 1.6, CallerDelay: 3 * time.Millisecond, NodeDelay: 900 * time.Microsecond,
		Classes: []Class{
			{
				Name: "feed", PerSecond: 290, Work: 22 * time.Millisecond, Spread: 0.5, Objective: 120 * time.Millisecond,
				Deadline: 1200 * time.Millisecond, Worth: 1, Late: 0.3, Priority: 2, Retries: 2, IsIdempotent: true, Users: 290,
			},
			{
				Name: "booking", PerSecond: 85, Work: 29 * time.Millisecond, Spread: 0.5, Objective: 150 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Worth: 2, Late: 0.6, Priority: 1, Retries: 2,
			},
			{
				Name: "without traffic", Work: time.Millisecond, Objective: time.Second, Deadline: time.Second, Worth: 1,
			},
		},
		Faults: faults,
	}
}
