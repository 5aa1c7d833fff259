package emulator

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Metric returns the sum of those samples at the Prometheus endpoint of a process whose name, including the labels,
// starts with prefix, such as `gentian_balancer_datagrams{verdict="forward"`.
func (e *Emulator) Metric(p *Process, prefix string) (float64, error) {
	answer, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.IP, portMetrics))
	if err != nil {
		return 0, eris.Wrapf(err, "metrics of %s", p.Name)
	}
	defer func() { _ = answer.Body.Close() }()
	var sum float64
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		name, value, ok := cutAtLastSpace(lines.Text())
		if !ok || !strings.HasPrefix(name, prefix) {
			continue
		}
		sample, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, eris.Wrapf(err, "metric %s of %s", name, p.Name)
		}
		sum += sample
	}
	return sum, eris.Wrapf(lines.Err(), "metrics of %s", p.Name)
}

// cutAtLastSpace splits a line of the text format at its last space. It reports false for comments and other lines.
func cutAtLastSpace(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// TotalMetric returns the sum of a metric over several processes.
func (e *Emulator) TotalMetric(processes []*Process, prefix string) (float64, error) {
	var total float64
	for _, p := range processes {
		value, err := e.Metric(p, prefix)
		if err != nil {
			return 0, err
		}
		total += value
	}
	return total, nil
}
