package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
)

// stableKeys lists, for each event number, the log fields whose values are the same in every session. Events that are not
// listed depend on the order in which processes start and connect, and are left out of the golden files.
var stableKeys = map[int][]string{
	100: {"program", "version"}, 102: {"error"}, 103: {"current"}, 104: {},
	200: {"route", "pool"}, 201: {"route", "pool"}, 202: {"bind"}, 203: {"bind"}, 204: {"bind"},
	300: {"agent", "service", "state"},
	400: {"revision"}, 401: {"revision", "known"},
	500: {"request", "class", "reason"}, 501: {"request", "class"}, 502: {"request", "class", "reason"},
	503: {"request", "class", "outcome", "status"}, 504: {"request"}, 505: {"reason"}, 506: {"request"}, 507: {"request"},
	600: {"feeds", "requests"}, 601: {}, 602: {}, 603: {},
}

const (
	sessionFeedEvents = 20
	// logSettleTime is the wait for late log lines before a golden file is rewritten.
	logSettleTime = 2 * time.Second
)

// session compares the logged events of a scripted session with golden files, one for each phase.
type session struct {
	emulator *emulator.Emulator
	golden   *goldie.Goldie
	// logOffsets holds, for each process, the length of its log at the end of the previous phase.
	logOffsets map[string]int
}

// finishPhase compares the events since the end of the previous phase with the golden file of this phase. Processes may log
// late, so it waits until the two are equal. With GOLDIE_UPDATE=true it rewrites the golden file after logSettleTime.
func (s *session) finishPhase(phase string) {
	GinkgoHelper()
	expected, err := os.ReadFile(s.golden.GoldenFileName(GinkgoTB(), phase))
	if err != nil || os.Getenv("GOLDIE_UPDATE") != "" {
		time.Sleep(logSettleTime)
	} else {
		Eventually(func() string { return s.events() }, waitLimit).Should(Equal(string(expected)), phase)
	}
	s.golden.Assert(GinkgoTB(), phase, []byte(s.events()))
	for _, p := range s.emulator.All() {
		s.logOffsets[p.Name] = len(readLog(p))
	}
}

// events returns the events of the current phase in a fixed order. An event that several processes of the same kind have
// logged occurs once.
func (s *session) events() string {
	var lines []string
	for _, p := range s.emulator.All() {
		kind, _, _ := strings.Cut(p.Name, "-")
		scanner := bufio.NewScanner(strings.NewReader(readLog(p)[s.logOffsets[p.Name]:]))
		for scanner.Scan() {
			if line := normalize(scanner.Bytes()); line != "" {
				lines = append(lines, kind+" "+line)
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}

// readLog returns the log of a process, or "" when it has none.
func readLog(p *emulator.Process) string {
	raw, err := os.ReadFile(p.LogFile())
	if err != nil {
		return ""
	}
	return string(raw)
}

var loopbackBlock = regexp.MustCompile(`127\.\d+\.\d+\.`)

// normalize returns the number, the name and the stable fields of the event in a log line, or "" for a line without a listed
// event. It replaces the block of loopback addresses, which differs between runs.
func normalize(raw []byte) string {
	var fields map[string]any
	if json.Unmarshal(raw, &fields) != nil {
		return ""
	}
	number, _ := fields["event"].(float64)
	keys, isStable := stableKeys[int(number)]
	if !isStable || fields["state"] == "starting" {
		return ""
	}
	line := fmt.Sprintf("%d %s", int(number), fields["msg"])
	for _, key := range keys {
		line += fmt.Sprintf(" %s=%v", key, fields[key])
	}
	return loopbackBlock.ReplaceAllString(line, "VM-")
}

var _ = Describe("A whole session", func() {
	It("logs the events of the golden files", func() {
		deployment := smallDeployment()
		deployment.Balancers = 2
		deployment.Pools[0].VMs = 1
		deployment.Pools[1].VMs = 1
		e := startDeployment(deployment)
		s := &session{
			emulator: e, logOffsets: make(map[string]int),
			golden: goldie.New(GinkgoTB(), goldie.WithFixtureDir("testdata/session")),
		}
		s.finishPhase("1-start")

		feed := callers.Request{ID: "feed", Class: class.Feed, Events: 5, Interval: 10 * time.Millisecond}
		Expect(sendOnNewFlow(e, emulator.PortFeed, feed).Outcome).To(Equal(callers.Done))
		s.finishPhase("2-feed")

		short := callers.Request{ID: "short", Class: class.Short, Body: []byte("notice")}
		Expect(sendOnNewFlow(e, emulator.PortShort, short).Outcome).To(Equal(callers.Done))
		s.finishPhase("3-short")

		upload := callers.Request{ID: "upload", Class: class.Long, Body: make([]byte, 100_000)}
		Expect(sendOnNewFlow(e, emulator.PortLong, upload).Outcome).To(Equal(callers.Done))
		s.finishPhase("4-upload")

		deployment.Routes = append(append([]emulator.Route(nil), deployment.Routes...), emulator.Route{
			Name: "announcements", Port: emulator.PortSpare, Pool: deployment.Pools[0].Name, Class: class.Short,
		})
		Expect(e.Apply(deployment)).To(Succeed())
		s.finishPhase("5-apply")

		feeds := openFeeds(e, 1, sessionFeedEvents)
		Expect(e.Agents[0].Signal(syscall.SIGTERM)).To(Succeed())
		feeds.expectComplete()
		Expect(e.Agents[0].Wait(stopLimit)).To(Succeed())
		s.finishPhase("6-drain")

		for _, p := range append(append([]*emulator.Process(nil), e.Agents[1]), e.Balancers...) {
			Expect(p.Stop(stopLimit)).To(Succeed())
		}
		s.finishPhase("7-stop")
	})
})
