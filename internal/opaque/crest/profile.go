// Package crest plays seconds of high load of opaque flows without a network: callers with their copies, retries and deadlines,
// targets with slots and cold starts, and between them the decisions that ship. It prints what these serve, what plain order of
// arrival serves, and a bound that no order can pass.
package crest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Profile describes a load and what happens in it.
type Profile struct {
	Pattern string `yaml:"pattern"`
	// Length is the time in which requests are asked.
	Length time.Duration `yaml:"length"`
	// Zones is the number of availability zones, over which targets, balancers and callers are spread evenly.
	Zones     int `yaml:"zones"`
	Balancers int `yaml:"balancers"`
	Targets   int `yaml:"targets"`
	// Slots is the number of requests that a target runs at once, Backlog how many more wait in it.
	Slots   int `yaml:"slots"`
	Backlog int `yaml:"backlog"`
	// After its start a target takes ColdFactor times as long for ColdFor.
	ColdFor    time.Duration `yaml:"cold_for"`
	ColdFactor float64       `yaml:"cold_factor"`
	// CallerDelay is the one-way delay to callers, NodeDelay the one between VMs.
	CallerDelay time.Duration `yaml:"caller_delay"`
	NodeDelay   time.Duration `yaml:"node_delay"`
	Classes     []Class       `yaml:"classes"`
	Faults      []Fault       `yaml:"faults"`
}

// Class is a kind of request.
type Class struct {
	Name string `yaml:"name"`
	// PerSecond is the mean rate; arrivals are a Poisson process.
	PerSecond float64 `yaml:"per_second"`
	// Work is the mean time of a run in a warm target, Spread the deviation of its logarithm.
	Work      time.Duration `yaml:"work"`
	Spread    float64       `yaml:"spread"`
	Objective time.Duration `yaml:"objective"`
	Deadline  time.Duration `yaml:"deadline"`
	// Worth is the credit of an answer within the objective, Late that of a later one within the deadline.
	Worth float64 `yaml:"worth"`
	Late  float64 `yaml:"late"`
	// Priority is lower for more urgent classes.
	Priority uint8 `yaml:"priority"`
	Retries  int   `yaml:"retries"`
	// IsIdempotent is set when callers ask again after any failure, else only when the request has not run.
	IsIdempotent bool `yaml:"idempotent"`
	// Users is the number of callers that keep a flow open; zero gives each request a flow of its own.
	Users int `yaml:"users"`
}

// Fault is something that happens.
type Fault struct {
	Kind string        `yaml:"kind"`
	At   time.Duration `yaml:"at"`
	For  time.Duration `yaml:"for"`
	// Share is the part of the targets, or of the callers, that it meets.
	Share float64 `yaml:"share"`
	// Factor is how many times as long runs take, or as many requests come.
	Factor float64 `yaml:"factor"`
	// Class is the class that a burst is of; empty for all.
	Class string `yaml:"class"`
}

// Kinds of faults.
const (
	// PowerLoss ends everything at once; targets come back cold and without flows.
	PowerLoss = "power_loss"
	// Restart ends balancers and agents; targets go on.
	Restart = "restart"
	// Burst multiplies the requests.
	Burst = "burst"
	// Slow makes runs take longer on a share of the targets.
	Slow = "slow"
	// Grey makes a share of the targets answer at once with a failure.
	Grey = "grey"
	// Flap ends a share of the targets for For, again and again, each time for as long as it was up.
	Flap = "flap"
	// Release replaces a share of the targets, one after the other.
	Release = "release"
	// Shift moves a share of the callers to the first availability zone.
	Shift = "shift"
)

var kinds = []string{PowerLoss, Restart, Burst, Slow, Grey, Flap, Release, Shift}

// Check reports the first value that is out of range.
func (p *Profile) Check() error {
	if err := p.checkDeployment(); err != nil {
		return err
	}
	for i := range p.Classes {
		if err := p.Classes[i].check(); err != nil {
			return rowError{list: "classes", row: i, cause: err}
		}
	}
	for i := range p.Faults {
		if err := p.Faults[i].check(p); err != nil {
			return rowError{list: "faults", row: i, cause: err}
		}
	}
	return nil
}

// end returns when the last caller has given up.
func (p *Profile) end() time.Duration {
	longest := time.Duration(0)
	for i := range p.Classes {
		longest = max(longest, p.Classes[i].Deadline)
	}
	return p.Length + longest
}

func (p *Profile) checkDeployment() error {
	switch {
	case p.Length <= 0:
		return eris.Errorf("length %s, expected a positive duration", p.Length)
	case p.Zones < 1 || p.Balancers < p.Zones || p.Targets < 1 || p.Slots < 1 || p.Backlog < 0:
		return eris.New("zones, balancers, targets and slots: expected at least 1, and a balancer for each zone")
	case p.ColdFor < 0 || p.CallerDelay < 0 || p.NodeDelay < 0 || p.ColdFactor < 1:
		return eris.New("cold_for, caller_delay, node_delay, cold_factor: expected no negative time and a factor of at least 1")
	case len(p.Classes) == 0:
		return eris.New("classes: expected at least one")
	}
	return nil
}

// rowError is an error in a row of a list of the profile.
type rowError struct {
	list  string
	row   int
	cause error
}

// Error implements error.
func (e rowError) Error() string { return fmt.Sprintf("%s, row %d: %v", e.list, e.row+1, e.cause) }

func (c *Class) check() error {
	switch {
	case c.PerSecond < 0 || c.Work <= 0 || c.Spread < 0 || c.Retries < 0 || c.Users < 0:
		return eris.New("per_second, work, spread, retries, users: expected no negative value, and work above zero")
	case c.Objective <= 0 || c.Deadline < c.Objective:
		return eris.Errorf("objective %s and deadline %s, expected the deadline not to be earlier", c.Objective, c.Deadline)
	case c.Late < 0 || c.Worth < c.Late:
		return eris.Errorf("worth %g and late %g, expected late not to be worth more", c.Worth, c.Late)
	}
	return nil
}

func (f *Fault) check(p *Profile) error {
	isOfClass := func(c Class) bool { return c.Name == f.Class }
	switch {
	case !slices.Contains(kinds, f.Kind):
		return eris.Errorf("unknown, expected one of %v", kinds)
	case f.At < 0 || f.For < 0:
		return eris.Errorf("at %s for %s, expected no negative time", f.At, f.For)
	case f.Share < 0 || f.Share > 1:
		return eris.Errorf("share %g, expected 0 to 1", f.Share)
	case f.Factor < 0:
		return eris.Errorf("factor %g, expected no negative value", f.Factor)
	case f.Class != "" && !slices.ContainsFunc(p.Classes, isOfClass):
		return eris.Errorf("class %q is not in the profile", f.Class)
	case f.Kind == Flap && f.For == 0:
		return eris.New("for 0s, expected a positive duration")
	}
	return nil
}

// Load reads a profile from a YAML file.
func Load(path string) (Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Profile{}, eris.Wrap(err, "read profile")
	}
	return parse(path, raw)
}

func parse(path string, raw []byte) (Profile, error) {
	var p Profile
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&p); err != nil {
		return Profile{}, eris.Wrap(err, path)
	}
	if len(p.Classes) == 0 && p.Pattern != "" {
		named, ok := Named(p.Pattern)
		if !ok {
			return Profile{}, eris.Errorf("%s: unknown pattern %q, and no classes", path, p.Pattern)
		}
		return named, nil
	}
	err := p.Check()
	var row rowError
	if errors.As(err, &row) {
		return p, eris.Errorf("%s:%d: %v", path, lineOf(raw, row), err)
	}
	return p, eris.Wrap(err, path)
}

// lineOf returns the line of a row, or 1 when it cannot be found.
func lineOf(raw []byte, row rowError) int {
	var document yaml.Node
	if err := yaml.Unmarshal(raw, &document); err != nil || len(document.Content) == 0 {
		return 1
	}
	fields := document.Content[0].Content
	for i := 0; i+1 < len(fields); i += 2 {
		if rows := fields[i+1].Content; fields[i].Value == row.list && row.row < len(rows) {
			return rows[row.row].Line
		}
	}
	return 1
}
