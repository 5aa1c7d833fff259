package integration

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/target"
)

var _ = Describe("Short work", func() {
	It("does not wait for long work, which leaves the reserved slot free", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		c := newClient(e)
		var uploads []<-chan callers.Result
		for i := range 3 {
			uploads = append(uploads, c.sendInBackground(callers.Request{
				ID: fmt.Sprint("upload-", i), Class: class.Long, Work: 3 * time.Second, Body: make([]byte, 50_000),
			}))
		}
		Eventually(func() int {
			return runOf(e, "upload-0").Count + runOf(e, "upload-1").Count + runOf(e, "upload-2").Count
		},
			requestWaitLimit).Should(Equal(1))
		for i := range 10 {
			Expect(c.send(shortRequest(fmt.Sprint(i), time.Millisecond)).Outcome).To(Equal(callers.Done))
		}
		for _, u := range uploads {
			Expect(u).NotTo(Receive(), "ten short requests finish before the first upload")
		}
		for _, u := range uploads {
			Expect((<-u).Outcome).To(Equal(callers.Done))
		}
	})
})

// newKeyedRequest returns a request with a new idempotency key. Before, it waits until the agents of the pool serve requests
// with new keys: an agent answers unknown for a key that is older than its own records.
func newKeyedRequest(e *emulator.Emulator, id string, work time.Duration) callers.Request {
	GinkgoHelper()
	request := shortRequest(id, work)
	Eventually(func() callers.Outcome {
		probe := shortRequest("probe-"+uuid.NewString(), 0)
		probe.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		return newClient(e).send(probe).Outcome
	}, requestWaitLimit, 200*time.Millisecond).Should(Equal(callers.Done))
	request.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	return request
}

var _ = Describe("A request that finds every slot taken", func() {
	It("is relayed to another agent with a free slot, before any byte has reached a target", func() {
		e := startDeployment(onePoolDeployment(2, 1))
		c := newClient(e)
		Eventually(func() int {
			done := []<-chan callers.Result{
				c.sendInBackground(shortRequest("one", time.Second)), c.sendInBackground(shortRequest("two", time.Second)),
			}
			for _, d := range done {
				Expect((<-d).Outcome).To(Equal(callers.Done))
			}
			return countLogLines(e.Agents[0], "request relayed") + countLogLines(e.Agents[1], "request relayed")
		}, requestWaitLimit).Should(BeNumerically(">", 0))
	})
})

var _ = Describe("A request beyond a bound", func() {
	It("is refused with 413 when its body is too large, and is not run", func() {
		e := startDeployment(onePoolDeployment(1, 2, "--body-limit", "1000"))
		request := shortRequest("a", 0)
		request.Body = make([]byte, 1001)
		r := newClient(e).send(request)
		Expect(r.Status).To(Equal(http.StatusRequestEntityTooLarge), "%+v", r)
		Expect(r.Outcome).To(Equal(callers.NotRun))
		Expect(runOf(e, "a").Count).To(BeZero())
	})

	It("is refused with 431 when its headers are too large", func() {
		e := startDeployment(onePoolDeployment(1, 2))
		r := newClient(e).send(shortRequest(strings.Repeat("x", 20_000), 0))
		Expect(r.Status).To(Equal(http.StatusRequestHeaderFieldsTooLarge), "%+v", r)
	})
})

var _ = Describe("A target that fails while it says it is healthy", func() {
	for name, faults := range map[string]target.Faults{
		"answers with errors":        {FailShort: true},
		"accepts and never answers":  {Hang: true},
		"cuts connections after run": {CutAfterRun: true},
	} {
		It("is ejected when it "+name, func() {
			e := startDeployment(onePoolDeployment(2, 3))
			setTargetFaults(e, faults)
			for i := range 200 {
				request := shortRequest(fmt.Sprint(i), 0)
				request.Deadline = 300 * time.Millisecond
				newClient(e).send(request)
				if countLogLines(e.Agents[0], "flow handed on", "target ejected") > 0 {
					break
				}
			}
			Expect(countLogLines(e.Agents[0], "health changed", "ejected")).To(BeNumerically(">", 0))
			Expect(countLogLines(e.Agents[0], "flow handed on", "target ejected")).To(BeNumerically(">", 0))
			Expect(countLogLines(e.Agents[1], "health changed")).To(BeZero())
		})
	}

	It("is kept when only its health and load endpoints fail", func() {
		e := startDeployment(onePoolDeployment(1, 3))
		setTargetFaults(e, target.Faults{IsUnhealthy: true, Load: 1})
		c := newClient(e)
		end := time.Now().Add(4 * time.Second)
		for i := 0; time.Now().Before(end); i++ {
			Expect(c.send(shortRequest(fmt.Sprint(i), 100*time.Millisecond)).Outcome).To(Equal(callers.Done))
		}
		Expect(countLogLines(e.Agents[0], "health changed")).To(BeZero())
	})
})
