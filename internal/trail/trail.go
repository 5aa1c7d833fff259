// Package trail collects the log lines of one flow from the logs of several processes.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineSize is the largest size of a log line, in bytes.
const maxLineSize = 1 << 20

// Line is a log line about a flow.
type Line struct {
	// At is the time of the line by the clock of its VM.
	At time.Time
	// Source is the name of the process that wrote the line.
	Source  string
	Message string
	// Details holds the other fields as key=value, sorted by key.
	Details string
}

// String formats the line for an operator.
func (l Line) String() string {
	return fmt.Sprintf("%s  %-28s  %-34s  %s", l.At.Format("15:04:05.000"), l.Source, l.Message, l.Details)
}

// Read returns the lines about a flow in the log of the process that source names. The flow has the form caller>address.
func Read(flow, source string, log io.Reader) ([]Line, error) {
	key, err := json.Marshal(flow)
	if err != nil {
		return nil, eris.Wrap(err, "flow")
	}
	// Logs are written without HTML escapes, which json.Marshal adds.
	wanted := append([]byte(`"flow":`), bytes.ReplaceAll(key, []byte(`\u003e`), []byte(">"))...)
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), wanted) {
			continue
		}
		line, err := parseLine(source, scanner.Bytes())
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, eris.Wrapf(scanner.Err(), "read the log of %s", source)
}

// parseLine parses a log line. It ignores any text before the JSON object, such as a time and a name that a log collector adds.
func parseLine(source string, raw []byte) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal(raw[max(bytes.IndexByte(raw, '{'), 0):], &fields); err != nil {
		return Line{}, eris.Wrapf(err, "parse a log line of %s: %s", source, raw)
	}
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return Line{}, eris.Wrapf(err, "parse the time of a log line of %s", source)
	}
	line := Line{At: at, Source: source}
	line.Message, _ = fields["msg"].(string)
	for _, known := range []string{"time", "msg", "flow", "level"} {
		delete(fields, known)
	}
	var details []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		details = append(details, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	line.Details = strings.Join(details, " ")
	return line, nil
}

// Sort sorts the lines of several processes by time. The clocks of the VMs may differ by the error of their time
// synchronization.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Source, b.Source)) })
}
