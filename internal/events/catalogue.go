// Package events implements the numbered log events of all programs, and the logger that writes them.
// docs/EVENTS.md is generated from the catalogue in this package.
package events

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event and never changes: 1xx process, 2xx routing, 3xx membership, 4xx configuration,
	// 5xx requests, 6xx drain, 7xx operator and stand-ins.
	Number int
	// Name is the message of the log line.
	Name string
	// Level is the severity of the log line.
	Level logrus.Level
	// Meaning explains to an operator what happened and, where necessary, what to do.
	Meaning string
	// Keys are the keys of the fields of the log line.
	Keys []string
}

var catalogue []Event

// define adds an event to the catalogue.
func define(number int, level logrus.Level, name, meaning string, keys ...string) Event {
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning, Keys: keys}
	catalogue = append(catalogue, event)
	return event
}

// All returns all events, sorted by number.
func All() []Event {
	all := append([]Event(nil), catalogue...)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
