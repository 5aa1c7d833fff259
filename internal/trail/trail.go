// Package trail joins the log lines of one flow over the logs of many processes.
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

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Line is a log line of a flow.
type Line struct {
	At      time.Time
	Source  string
	Message string
	// Details are the other fields as key=value, in the order of their keys.
	Details string
}

// String returns the line as operators read it.
func (l Line) String() string {
	return fmt.Sprintf("%s  %-28s  %-34s  %s", l.At.Format("15:04:05.000"), l.Source, l.Message, l.Details)
}

// Read returns the lines of a flow, caller>address, in the log of the process that source names.
func Read(flow, source string, log io.Reader) ([]Line, error) {
	key, err := json.Marshal(flow)
	if err != nil {
		return nil, eris.Wrap(err, "flow")
	}
	// Logs are written without the escapes for HTML.
	wanted := append([]byte(`"flow":`), bytes.ReplaceAll(key, []byte(`\u003e`), []byte(">"))...)
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), wanted) {
			continue
		}
		line, err := parse(source, scanner.Bytes())
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, eris.Wrapf(scanner.Err(), "read the log of %s", source)
}

// parse reads a line. What stands before the object, such as the time and name that a collector adds, is left out.
func parse(source string, raw []byte) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal(raw[max(bytes.IndexByte(raw, '{'), 0):], &fields); err != nil {
		return Line{}, eris.Wrapf(err, "line of %s: %s", source, raw)
	}
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return Line{}, eris.Wrapf(err, "time of a line of %s", source)
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

// Sort puts the lines of several processes into the order of their times. Clocks of VMs differ by what time
// synchronization leaves.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Source, b.Source)) })
}
