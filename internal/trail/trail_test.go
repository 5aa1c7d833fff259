package trail_test

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/trail"
)

const flow = "100.64.0.7:4001>198.18.0.1:443"

func TestLinesOfFlowAreSortedByTime(t *testing.T) {
	g := NewWithT(t)
	balancer, err := trail.Read(flow, "front-1", strings.NewReader(
		`{"agent":"10.1.0.2","event":210,"flow":"`+flow+`","level":"info","msg":"opaque flow placed","time":"2026-12-04T09:00:00.120Z"}
{"event":210,"flow":"100.64.0.7:40011>198.18.0.1:443","msg":"opaque flow placed","time":"2026-12-04T09:00:00.121Z"}
 12.5 front-1 {"event":211,"flow":"`+flow+`","msg":"opaque flow reset","opens":false,"time":"2026-12-04T09:00:02Z"}
not a line of a process
`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(balancer).To(HaveLen(2), "the port of the other flow only has the same prefix")
	agent, err := trail.Read(flow, "side-9", strings.NewReader(
		`{"event":217,"flow":"`+flow+`","former":"i-1","msg":"opaque flow ended with its target","time":"2026-12-04T09:00:01.5Z"}`))
	g.Expect(err).NotTo(HaveOccurred())
	all := slices.Concat(balancer, agent)
	trail.Sort(all)
	var messages []string
	for _, line := range all {
		messages = append(messages, line.Message)
	}
	g.Expect(messages).To(Equal([]string{"opaque flow placed", "opaque flow ended with its target", "opaque flow reset"}))
	g.Expect(all[1].String()).To(And(ContainSubstring("09:00:01.500"), ContainSubstring("side-9"), ContainSubstring("former=i-1")))
}

func TestMalformedLineOfFlowIsAnError(t *testing.T) {
	for name, line := range map[string]string{
		"cut":          `{"flow":"` + flow + `","msg":`,
		"without time": `{"flow":"` + flow + `","msg":"opaque flow placed"}`,
	} {
		_, err := trail.Read(flow, "front-1", strings.NewReader(line))
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring("front-1")), name)
	}
}
