package integration

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a kind of fault in a soak. Kinds that disturb the same part of the deployment follow one another: inject
// selects the part by comparing kinds.
type faultKind uint8

const (
	killBalancer faultKind = iota
	stopBalancer
	pauseBalancer
	killAgent
	pauseAgent
	killAll
	crashTarget
	replaceTarget
	storeBusy
	storeResets
	storeSilent
	storeLosesAnswers
	storeCompacted
	storeSlow
	storeAnswersDropped
	storeTrafficDropped
	storeConnectionsRefused
	lossyNetwork
	narrowNetwork
	changeRoutes
	faultKindCount
	// These are not drawn among the other kinds; addRestorations, addEvacuations and addForeignEntries add them.
	storeRestored
	evacuateZone
	replaceEntry
)

// String returns the name of the kind in the output of a soak.
func (k faultKind) String() string {
	return [...]string{
		"kill balancer", "stop balancer", "pause balancer", "kill agent", "pause agent", "kill all", "crash target",
		"replace target", "store busy", "store resets", "store silent", "store loses answers", "store compacted",
		"store slow", "drop store answers", "drop store traffic", "refuse store connections", "lossy network",
		"narrow network", "change routes", "", "restore store", "evacuate zone", "replace entry",
	}[k]
}

// fault is a fault of a soak: its kind, its start counted from the start of the soak, its duration, and the index of the
// balancer or agent that it affects, or, for a restoration, of the copy, counted from the last one.
type fault struct {
	kind         faultKind
	at, duration time.Duration
	victim       int
}

func (f fault) String() string {
	return fmt.Sprintf("%5.2fs %s %d for %s", f.at.Seconds(), f.kind, f.victim, f.duration)
}

const (
	// meanGap is the mean time between the starts of two faults. About two faults are active at a time.
	meanGap = 400 * time.Millisecond
	// shortestFault and longestFault bound the duration of a fault. An agent that is paused for less than 2 s keeps its
	// flows.
	shortestFault = 100 * time.Millisecond
	longestFault  = 1200 * time.Millisecond
	// meanRestorationGap is the mean time between two restorations of the store. They are from the last copy or one up to
	// maxCopyAge copies older.
	meanRestorationGap = 4 * time.Second
	copyInterval       = time.Second
	maxCopyAge         = 7
	// firstCopy selects the first copy, which is from before the first target. One restoration in four uses it.
	firstCopy = math.MaxInt32
	// victimRecoveryTime is the least time between two faults of the same process, in which it recovers.
	victimRecoveryTime = time.Second
)

// drawSchedule returns random faults for a soak of the given length. The same seed gives the same faults.
func drawSchedule(seed uint64, length time.Duration, balancers, targets int) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	freeFrom := map[string]time.Duration{}
	var faults []fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= length {
			break
		}
		f := fault{
			kind: faultKind(random.IntN(int(faultKindCount))), at: at,
			duration: shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
		}
		victims := victimsOf(&f, random, balancers, targets)
		if slices.ContainsFunc(victims, func(v string) bool { return at < freeFrom[v] }) {
			continue
		}
		for _, v := range victims {
			freeFrom[v] = at + f.duration + victimRecoveryTime
		}
		faults = append(faults, f)
	}
	return faults
}

// victimsOf chooses the victim of a fault at random. It returns the parts of the deployment that no other fault may affect at
// the same time.
func victimsOf(f *fault, random *rand.Rand, balancers, targets int) []string {
	switch f.kind {
	case killBalancer, stopBalancer, pauseBalancer, storeAnswersDropped, storeTrafficDropped, storeConnectionsRefused:
		f.victim = random.IntN(balancers)
		return []string{fmt.Sprint("balancer ", f.victim)}
	case killAgent, pauseAgent, crashTarget, replaceTarget:
		f.victim = random.IntN(targets)
		return []string{fmt.Sprint("agent ", f.victim)}
	case killAll:
		var all []string
		for i := range balancers {
			all = append(all, fmt.Sprint("balancer ", i))
		}
		for i := range targets {
			all = append(all, fmt.Sprint("agent ", i))
		}
		return all
	case lossyNetwork:
		return []string{"network"}
	case narrowNetwork:
		return []string{"network", "store"}
	case changeRoutes:
		return []string{"routes"}
	case storeCompacted:
		return []string{"store", "routes"}
	default:
		return []string{"store"}
	}
}

// addRestorations adds random restorations of the store from copies. They take the place of faults of the store and the routes
// at the same time.
func addRestorations(faults []fault, seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); ; {
		at += longestFault + time.Duration(random.ExpFloat64()*float64(meanRestorationGap))
		if at >= length {
			break
		}
		f := fault{
			kind: storeRestored, at: at, victim: random.IntN(maxCopyAge),
			duration: shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
		}
		if random.IntN(4) == 0 {
			f.victim = firstCopy
		}
		faults = slices.DeleteFunc(faults, func(other fault) bool {
			return other.affectsStoreOrRoutes() && other.at < f.at+f.duration+victimRecoveryTime &&
				f.at < other.at+other.duration+victimRecoveryTime
		})
		faults = append(faults, f)
	}
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// meanEvacuationGap is the mean time between two evacuations of the zone, and longestEvacuation bounds the length of one.
const (
	meanEvacuationGap = 3 * time.Second
	longestEvacuation = 8 * time.Second
)

// addEvacuations adds evacuations of random lengths at random times, beside all other faults.
func addEvacuations(faults []fault, seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanEvacuationGap))
		if at >= length {
			break
		}
		f := fault{kind: evacuateZone, at: at, duration: min(time.Duration(random.Int64N(int64(longestEvacuation))), length-at)}
		faults = append(faults, f)
		at += f.duration
	}
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// meanForeignEntryGap is the mean time between two entries of targets that another writer replaces.
const meanForeignEntryGap = 4 * time.Second

// addForeignEntries adds entries of targets that another writer replaces at random times, beside all other faults.
func addForeignEntries(faults []fault, seed uint64, length time.Duration, targets int) []fault {
	random := rand.New(rand.NewPCG(seed, 3))
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanForeignEntryGap))
		if at >= length {
			break
		}
		faults = append(faults, fault{kind: replaceEntry, at: at, victim: random.IntN(targets)})
	}
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

func (f fault) affectsStoreOrRoutes() bool {
	switch f.kind {
	case storeBusy, storeResets, storeSilent, storeLosesAnswers, storeCompacted, storeSlow, narrowNetwork, changeRoutes, storeRestored:
		return true
	default:
		return false
	}
}
