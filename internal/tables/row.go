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

// Bounds of the fields.
const (
	maxService      = 1<<16 - 1
	maxQueueLimit   = 100_000
	maxShortReserve = 10_000
	maxDeadline     = time.Hour
)

// validName allows 1 to 253 characters, as many as a DNS name has.
var validName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,252})$`)

const expectedName = "a name of 1 to 253 letters, digits, dots, hyphens and underscores that starts with a letter or digit"

// places remembers where values that must be unique were given first, by line.
type places struct {
	routeNames, poolNames map[string]int
	addresses             map[netip.AddrPort]int
	services              map[uint16]int
	// pools holds the lines of the routes' pool fields by path.
	pools map[string]int
}

func newPlaces() *places {
	return &places{
		routeNames: make(map[string]int), poolNames: make(map[string]int),
		addresses: make(map[netip.AddrPort]int), services: make(map[uint16]int), pools: make(map[string]int),
	}
}

func (p *parser) route(row *yaml.Node, path string, seen *places) Route {
	var r Route
	p.fields(row, path, []field{
		{name: "name", isRequired: true, read: func(n *yaml.Node, path string) {
			if p.name(n, path, &r.Name) {
				unique(p, n, path, r.Name, seen.routeNames)
			}
		}},
		{name: "address", isRequired: true, read: func(n *yaml.Node, path string) {
			if p.address(n, path, &r.Address) {
				unique(p, n, path, r.Address, seen.addresses)
			}
		}},
		{name: "pool", isRequired: true, read: func(n *yaml.Node, path string) {
			seen.pools[path] = n.Line
			p.name(n, path, &r.Pool)
		}},
		{name: "class", isRequired: true, read: func(n *yaml.Node, path string) { p.class(n, path, &r.Class) }},
	})
	return r
}

func (p *parser) pool(row *yaml.Node, path string, seen *places) Pool {
	pool := Pool{ShortReserve: Undeclared, QueueLimit: Undeclared}
	p.fields(row, path, []field{
		{name: "name", isRequired: true, read: func(n *yaml.Node, path string) {
			if p.name(n, path, &pool.Name) {
				unique(p, n, path, pool.Name, seen.poolNames)
			}
		}},
		{name: "service", isRequired: true, read: func(n *yaml.Node, path string) {
			var number int
			if p.integer(n, path, 1, maxService, &number) {
				pool.Service = uint16(number)
				unique(p, n, path, pool.Service, seen.services)
			}
		}},
		{name: "short_reserve", read: func(n *yaml.Node, path string) {
			p.integer(n, path, 0, maxShortReserve, &pool.ShortReserve)
		}},
		{name: "queue_limit", read: func(n *yaml.Node, path string) {
			p.integer(n, path, 0, maxQueueLimit, &pool.QueueLimit)
		}},
		{name: "default_deadline", read: func(n *yaml.Node, path string) { p.duration(n, path, &pool.DefaultDeadline) }},
	})
	return pool
}

// unique reports a value that was given before.
func unique[T comparable](p *parser, n *yaml.Node, path string, value T, lines map[T]int) {
	if line, isTwice := lines[value]; isTwice {
		p.report(n.Line, path, fmt.Sprintf("%s is used on line %d already", quote(n.Value), line), "a value used once")
		return
	}
	lines[value] = n.Line
}

// scalar returns the text of a scalar and reports anything else.
func (p *parser) scalar(n *yaml.Node, path, expected string) (string, bool) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		p.report(n.Line, path, describe(n), expected)
		return "", false
	}
	if len(n.Value) > store.MaxValueSize {
		p.report(n.Line, path, fmt.Sprintf("a value of %d bytes", len(n.Value)),
			fmt.Sprintf("at most %d bytes, the limit of a value in the store", store.MaxValueSize))
		return "", false
	}
	return n.Value, true
}

func (p *parser) name(n *yaml.Node, path string, into *string) bool {
	text, ok := p.scalar(n, path, expectedName)
	if !ok {
		return false
	}
	if !validName.MatchString(text) {
		p.report(n.Line, path, quote(text), expectedName)
		return false
	}
	*into = text
	return true
}

func (p *parser) address(n *yaml.Node, path string, into *netip.AddrPort) bool {
	const expected = "an IPv4 address and port such as 203.0.113.1:4431"
	text, ok := p.scalar(n, path, expected)
	if !ok {
		return false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		p.report(n.Line, path, quote(text), expected)
		return false
	}
	*into = address
	return true
}

func (p *parser) class(n *yaml.Node, path string, into *class.Class) {
	const expected = "feed, short or long"
	text, ok := p.scalar(n, path, expected)
	if !ok {
		return
	}
	parsed, err := class.Parse(text)
	if err != nil {
		p.report(n.Line, path, quote(text), expected)
		return
	}
	*into = parsed
}

func (p *parser) integer(n *yaml.Node, path string, least, most int, into *int) bool {
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	text, ok := p.scalar(n, path, expected)
	if !ok {
		return false
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < least || number > most {
		p.report(n.Line, path, quote(text), expected)
		return false
	}
	*into = number
	return true
}

func (p *parser) duration(n *yaml.Node, path string, into *time.Duration) {
	expected := fmt.Sprintf("a duration above 0 and up to %s, such as 10s or 500ms", maxDeadline)
	text, ok := p.scalar(n, path, expected)
	if !ok {
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 || parsed > maxDeadline {
		p.report(n.Line, path, quote(text), expected)
		return
	}
	*into = parsed
}
