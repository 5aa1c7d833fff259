package agent

import (
	"context"
	"sync"

	"gentianswitch/internal/events"
	"gentianswitch/internal/member"
)

// drain takes no new flows, tells callers with GOAWAY, and waits until the last request has ended or force ends.
func (a *Agent) drain(force context.Context) {
	a.lifecycle.set(member.Draining)
	a.log.Emit(events.DrainStarted)
	var servers sync.WaitGroup
	for _, s := range a.servers {
		servers.Go(func() { _ = s.Shutdown(force) })
	}
	servers.Wait()
	a.lifecycle.set(member.Gone)
	if force.Err() != nil {
		a.log.Emit(events.DrainForced)
		return
	}
	// The last datagrams of the answers are still on their way.
	sleep(force, lingerDuration)
	a.log.Emit(events.DrainFinished)
}
