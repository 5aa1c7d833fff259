package store

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/events"
	"gentianswitch/internal/metrics"
)

// Observer is notified of the calls to a WatchableStore. Its functions may be called concurrently.
type Observer struct {
	// Called is called with the name, the outcome and the duration of each call.
	Called func(call string, err error, took time.Duration)
	// Answered is called with the era of each answer: a number that rises each time the store is restored from a copy.
	Answered func(era uint64)
}

// NewObserver returns an observer that counts the calls in scope and logs restorations of the store.
func NewObserver(scope tally.Scope, log *events.Logger) Observer {
	recordEra := metrics.StoreEra(scope)
	var mu sync.Mutex
	var latest uint64
	return Observer{Called: metrics.StoreCalls(scope), Answered: func(era uint64) {
		mu.Lock()
		previous := latest
		latest = max(latest, era)
		recordEra(latest)
		mu.Unlock()
		if previous > 0 && era > previous {
			log.Emit(events.StoreRestored, events.F("previous", previous), events.F("era", era))
		}
	}}
}
