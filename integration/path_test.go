package integration

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

// requestTimeout bounds the time for which a caller waits for its answer.
const requestTimeout = 20 * time.Second

// sendOnNewFlow opens a new flow on the route at the given port and sends one request on it.
func sendOnNewFlow(e *emulator.Emulator, port uint16, request callers.Request) callers.Result {
	caller, err := callers.New(e.File(certificates.AuthorityFile), e.Deployment.PoolOf(port).Name)
	if err != nil {
		return callers.Result{Outcome: callers.Unreachable, Err: err}
	}
	defer caller.Close()
	return sendOnFlow(e, caller, port, request)
}

var _ = Describe("The whole path", func() {
	for _, deployment := range []emulator.Deployment{emulator.Sierra(), emulator.Taiwan()} {
		It("serves a feed, a short request and an upload in "+deployment.Name, func() {
			e := startDeployment(deployment)
			feed := sendOnNewFlow(e, emulator.PortFeed, callers.Request{
				ID: "feed", Class: class.Feed, Events: 10, Interval: 20 * time.Millisecond,
			})
			Expect(feed.Outcome).To(Equal(callers.Done), "%+v", feed)
			short := sendOnNewFlow(e, emulator.PortShort, callers.Request{
				ID: "short", Class: class.Short, Work: 10 * time.Millisecond, Body: []byte("dedication"),
			})
			Expect(short.Outcome).To(Equal(callers.Done), "%+v", short)
			upload := sendOnNewFlow(e, emulator.PortLong, callers.Request{
				ID: "upload", Class: class.Long, Work: 50 * time.Millisecond, Body: make([]byte, 300_000),
			})
			Expect(upload.Outcome).To(Equal(callers.Done), "%+v", upload)
		})
	}
})
