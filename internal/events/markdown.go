package events

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the text of docs/EVENTS.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Events\n\n")
	text.WriteString("Each log line carries the number of its event under the key `event` and its name as the message.\n")
	text.WriteString("Numbers: 1xx process, 2xx routing, 3xx membership, 4xx configuration, 5xx requests, 6xx drain,\n")
	text.WriteString("7xx operator. This page is generated from the catalogue in `internal/events` by `make docs`;\n")
	text.WriteString("a test fails when it is out of date.\n\n")
	text.WriteString("| event | name | level | keys | meaning |\n|---|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n",
			e.Number, e.Name, e.Level, keyList(e.Keys), e.Meaning)
	}
	return text.String()
}

func keyList(keys []string) string {
	quoted := make([]string, 0, len(keys))
	for _, k := range keys {
		quoted = append(quoted, "`"+k+"`")
	}
	return strings.Join(quoted, ", ")
}
