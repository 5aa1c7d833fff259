package tables

import (
	"fmt"
	"strings"
)

// Problem is one error in a file with tables.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1. It is 0 when the line is not known.
	Line int `json:"line"`
	// Field is the path of the field, such as routes[2].address.
	Field string `json:"field"`
	// Found describes what the file has in this place.
	Found string `json:"found"`
	// Expected describes the valid values.
	Expected string `json:"expected"`
}

// String returns the problem as one line of text.
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

// InvalidError lists all problems of a file with tables, in the order of the lines.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line of text for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// maxQuotedBytes is the number of bytes that a problem quotes of a long value.
const maxQuotedBytes = 40

func quote(value string) string {
	if len(value) > maxQuotedBytes {
		return fmt.Sprintf("%q and %d more bytes", value[:maxQuotedBytes], len(value)-maxQuotedBytes)
	}
	return fmt.Sprintf("%q", value)
}
