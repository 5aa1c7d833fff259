package tables

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file with tables.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1. It is 0 when the fault has no line.
	Line int `json:"line"`
	// Field is the path of the field, such as routes[2].address.
	Field string `json:"field"`
	// Found is what the file says.
	Found string `json:"found"`
	// Expected is what the field may hold.
	Expected string `json:"expected"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field != "" {
		place += ": " + p.Field
	}
	return fmt.Sprintf("%s: %s, expected %s", place, p.Found, p.Expected)
}

// InvalidError lists every problem of a file with tables, in the order of the lines.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// maxQuoted is the number of bytes of a value that a problem quotes.
const maxQuoted = 40

func quote(value string) string {
	if len(value) > maxQuoted {
		return fmt.Sprintf("%q and %d more bytes", value[:maxQuoted], len(value)-maxQuoted)
	}
	return fmt.Sprintf("%q", value)
}
