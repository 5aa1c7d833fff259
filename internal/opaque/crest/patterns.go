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
		newPatientPattern("demand above capacity", Fault{Kind: Burst, At: 2 * time.Second, For: 6 * time.Second, Factor: 2.3}),
		newPatientPattern("loss of power in a burst",
			Fault{Kind: Burst, At: 2 * time.Second, For: 6 * time.Second, Factor: 1.8},
			Fault{Kind: PowerLoss, At: 4 * time.Second, For: time.Second}),
		newPatientPattern("burst of the less urgent class",
			Fault{Kind: Burst, At: 2 * time.Second, For: 4 * time.Second, Factor: 3, Class: "feed"}),
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

// newPatientPattern returns a small deployment at half of its capacity, with the given faults. Its callers stay for several times the
// objective, so a backlog can be served late instead of being refused. The rates, times and credits are those of the deployment with the
// shorter deadlines in docs/design/hard-load.md, scaled to 7 of 50 targets.
func newPatientPattern(name string, faults ...Fault) Profile {
	return Profile{
		Pattern: name, Length: 12 * time.Second, Zones: 3, Balancers: 5, Targets: 7, Slots: 3, Backlog: 12,
		ColdDuration: 2 * time.Second, ColdFactor: 1.6, CallerDelay: 3 * time.Millisecond, VMDelay: 4500 * time.Microsecond,
		Classes: []Class{
			{
				Name: "feed", PerSecond: 162, MeanServiceTime: 47 * time.Millisecond, LogSigma: 0.5, Objective: 400 * time.Millisecond,
				Deadline: 2 * time.Second, OnTimeCredit: 1, LateCredit: 0.3, Priority: 2, Retries: 2, IsIdempotent: true,
				PersistentCallers: 162,
			},
			{
				Name: "order", PerSecond: 46, MeanServiceTime: 61 * time.Millisecond, LogSigma: 0.5, Objective: 400 * time.Millisecond,
				Deadline: 2500 * time.Millisecond, OnTimeCredit: 2, LateCredit: 0.6, Priority: 1, Retries: 2, PersistentCallers: 46,
			},
			{
				Name: "download", PerSecond: 14, MeanServiceTime: 4200 * time.Microsecond, LogSigma: 0.5, Objective: 800 * time.Millisecond,
				Deadline: 4 * time.Second, OnTimeCredit: 1, LateCredit: 0.3, Priority: 2, Retries: 2, IsIdempotent: true,
			},
		},
		Faults: faults,
	}
}
