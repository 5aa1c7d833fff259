package events_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/events"
)

const page = "../../docs/EVENTS.md"

var isUpdate = flag.Bool("update-events", false, "regenerate docs/EVENTS.md")

func TestEventsPageIsCurrent(t *testing.T) {
	g := NewWithT(t)
	if *isUpdate {
		g.Expect(os.WriteFile(page, []byte(events.Markdown()), 0o600)).To(Succeed())
	}
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(events.Markdown()), "run make docs")
}

func TestEventNumbersAndNamesAreUnique(t *testing.T) {
	g := NewWithT(t)
	numbers := make(map[int]bool)
	names := make(map[string]bool)
	for _, e := range events.All() {
		g.Expect(numbers[e.Number]).To(BeFalse(), "number %d appears twice", e.Number)
		g.Expect(names[e.Name]).To(BeFalse(), "name %q appears twice", e.Name)
		g.Expect(e.Meaning).NotTo(BeEmpty())
		numbers[e.Number] = true
		names[e.Name] = true
	}
}

func TestLoggerWritesNumberNameAndFields(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, err := events.NewLogger(&out, events.FormatJSON, "info")
	g.Expect(err).NotTo(HaveOccurred())
	log.Emit(events.DrainStarted, events.F("flows", 3))
	var line struct {
		Event int    `json:"event"`
		Msg   string `json:"msg"`
		Flows int    `json:"flows"`
	}
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line.Event).To(Equal(600))
	g.Expect(line.Msg).To(Equal("drain started"))
	g.Expect(line.Flows).To(Equal(3))
}

func TestLoggerRejectsUnknownFormatAndLevel(t *testing.T) {
	g := NewWithT(t)
	_, err := events.NewLogger(&bytes.Buffer{}, "xml", "info")
	g.Expect(err).To(MatchError(ContainSubstring("expected json or text")))
	_, err = events.NewLogger(&bytes.Buffer{}, events.FormatText, "loud")
	g.Expect(err).To(HaveOccurred())
}
