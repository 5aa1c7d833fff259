// Package class names the three kinds of work that a route can declare.
package class

import "github.com/rotisserie/eris"

// Class is the kind of work of a route. The zero value is not a valid class.
type Class uint8

// The classes of work.
const (
	// Feed is a response that stays open and sends events. It takes a connection and no slot.
	Feed Class = 1
	// Short is a request that takes one slot for a short time.
	Short Class = 2
	// Long is a request, such as an upload, that takes one slot for a long time.
	Long Class = 3
)

// All lists every class.
var All = []Class{Feed, Short, Long}

// String returns the name that tables and logs use.
func (c Class) String() string {
	switch c {
	case Feed:
		return "feed"
	case Short:
		return "short"
	case Long:
		return "long"
	default:
		return "invalid"
	}
}

// IsValid reports whether c is one of the declared classes.
func (c Class) IsValid() bool {
	return c >= Feed && c <= Long
}

// Parse returns the class with the given name.
func Parse(name string) (Class, error) {
	for _, c := range All {
		if c.String() == name {
			return c, nil
		}
	}
	return 0, eris.Errorf("class %q, expected feed, short or long", name)
}
