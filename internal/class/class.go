// Package class defines the three classes of work that a route can declare. A target runs a fixed number of requests at once,
// its slots, and the classes differ in how they occupy them.
package class

import "github.com/rotisserie/eris"

// Class is the class of work of a route. The zero value is invalid.
type Class uint8

// The classes of work.
const (
	// Feed is a request whose response stays open and streams events. It occupies a connection but no slot of the target.
	Feed Class = 1
	// Short is a request that occupies one slot for a short time.
	Short Class = 2
	// Long is a request, such as an upload, that occupies one slot for a long time.
	Long Class = 3
)

// All lists every class.
var All = []Class{Feed, Short, Long}

// String returns the name that route tables and logs use, or "invalid".
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

// Parse returns the class with the given name. It returns an error for an unknown name.
func Parse(name string) (Class, error) {
	for _, c := range All {
		if c.String() == name {
			return c, nil
		}
	}
	return 0, eris.Errorf("class %q, expected feed, short or long", name)
}
