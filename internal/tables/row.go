package tables

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"gentianswitch/internal/class"
	"gentianswitch/internal/store"
)

// Largest values of the fields.
const (
	maxService      = 1<<16 - 1
	maxQueueLimit   = 100_000
	maxShortReserve = 10_000
	maxDeadline     = time.Hour
)

// validName allows 1 to 253 characters, like a DNS name.
var validName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,252})$`)

const expectedName = "a name of 1 to 253 letters, digits, dots, hyphens and underscores that starts with a letter or digit"

// fieldLines holds the lines of fields that are checked against fields of other rows: for each value that must be unique, the
// line where it was given first.
type fieldLines struct {
	routeNames, poolNames map[string]int
	addresses             map[netip.AddrPort]int
	services              map[uint16]int
	// routePools holds the lines of the routes' pool fields, by the path of the field.
	routePools map[string]int
}

func newFieldLines() *fieldLines {
	return &fieldLines{
		routeNames: make(map[string]int), poolNames: make(map[string]int),
		addresses: make(map[netip.AddrPort]int), services: make(map[uint16]int), routePools: make(map[string]int),
	}
}

func (p *parser) parseRoute(row *yaml.Node, path string, lines *fieldLines) Route {
	var r Route
	p.parseFields(row, path, []field{
		{name: "name", isRequired: true, parse: func(n *yaml.Node, path string) {
			if p.parseName(n, path, &r.Name) {
				checkUnique(p, n, path, r.Name, lines.routeNames)
			}
		}},
		{name: "address", isRequired: true, parse: func(n *yaml.Node, path string) {
			if p.parseAddress(n, path, &r.Address) {
				checkUnique(p, n, path, r.Address, lines.addresses)
			}
		}},
		{name: "pool", isRequired: true, parse: func(n *yaml.Node, path string) {
			lines.routePools[path] = n.Line
			p.parseName(n, path, &r.Pool)
		}},
		{name: "class", isRequired: true, parse: func(n *yaml.Node, path string) { p.parseClass(n, path, &r.Class) }},
	})
	return r
}

func (p *parser) parsePool(row *yaml.Node, path string, lines *fieldLines) Pool {
	pool := Pool{ShortReserve: Undeclared, QueueLimit: Undeclared}
	p.parseFields(row, path, []field{
		{name: "name", isRequired: true, parse: func(n *yaml.Node, path string) {
			if p.parseName(n, path, &pool.Name) {
				checkUnique(p, n, path, pool.Name, lines.poolNames)
			}
		}},
		{name: "service", isRequired: true, parse: func(n *yaml.Node, path string) {
			var number int
			if p.parseInteger(n, path, 1, maxService, &number) {
				pool.Service = uint16(number)
				checkUnique(p, n, path, pool.Service, lines.services)
			}
		}},
		{name: "short_reserve", parse: func(n *yaml.Node, path string) {
			p.parseInteger(n, path, 0, maxShortReserve, &pool.ShortReserve)
		}},
		{name: "queue_limit", parse: func(n *yaml.Node, path string) {
			p.parseInteger(n, path, 0, maxQueueLimit, &pool.QueueLimit)
		}},
		{name: "default_deadline", parse: func(n *yaml.Node, path string) { p.parseDuration(n, path, &pool.DefaultDeadline) }},
	})
	return pool
}

// checkUnique reports a value that an earlier row has. The map lines holds the line of each value so far.
func checkUnique[T comparable](p *parser, n *yaml.Node, path string, value T, lines map[T]int) {
	if line, isTwice := lines[value]; isTwice {
		p.report(n.Line, path, fmt.Sprintf("%s is used on line %d already", quote(n.Value), line), "a value used once")
		return
	}
	lines[value] = n.Line
}

// parseScalar returns the text of a scalar. It reports any other node, and a value that exceeds the store's limit.
func (p *parser) parseScalar(n *yaml.Node, path, expected string) (string, bool) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		p.report(n.Line, path, describeNode(n), expected)
		return "", false
	}
	if len(n.Value) > store.MaxValueSize {
		p.report(n.Line, path, fmt.Sprintf("a value of %d bytes", len(n.Value)),
			fmt.Sprintf("at most %d bytes, the limit of a value in the store", store.MaxValueSize))
		return "", false
	}
	return n.Value, true
}

// parseName sets target to the name in a node. Like the other functions for single values, it reports an invalid value and
// leaves target unchanged.
func (p *parser) parseName(n *yaml.Node, path string, target *string) bool {
	text, ok := p.parseScalar(n, path, expectedName)
	if !ok {
		return false
	}
	if !validName.MatchString(text) {
		p.report(n.Line, path, quote(text), expectedName)
		return false
	}
	*target = text
	return true
}

func (p *parser) parseAddress(n *yaml.Node, path string, target *netip.AddrPort) bool {
	const expected = "an IPv4 address and port such as 203.0.113.1:4431"
	text, ok := p.parseScalar(n, path, expected)
	if !ok {
		return false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		p.report(n.Line, path, quote(text), expected)
		return false
	}
	*target = address
	return true
}

func (p *parser) parseClass(n *yaml.Node, path string, target *class.Class) {
	const expected = "feed, short or long"
	text, ok := p.parseScalar(n, path, expected)
	if !ok {
		return
	}
	parsed, err := class.Parse(text)
	if err != nil {
		p.report(n.Line, path, quote(text), expected)
		return
	}
	*target = parsed
}

func (p *parser) parseInteger(n *yaml.Node, path string, least, most int, target *int) bool {
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	text, ok := p.parseScalar(n, path, expected)
	if !ok {
		return false
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < least || number > most {
		p.report(n.Line, path, quote(text), expected)
		return false
	}
	*target = number
	return true
}

func (p *parser) parseDuration(n *yaml.Node, path string, target *time.Duration) {
	expected := fmt.Sprintf("a duration above 0 and up to %s, such as 10s or 500ms", maxDeadline)
	text, ok := p.parseScalar(n, path, expected)
	if !ok {
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 || parsed > maxDeadline {
		p.report(n.Line, path, quote(text), expected)
		return
	}
	*target = parsed
}
