// Package crest is a discrete-event simulation of load peaks on opaque flows, without a network. It models callers with
// retransmissions, retries and deadlines, and targets with slots and cold starts; the decisions of balancers and agents between
// them are made by the production code. A request earns a credit by an answer within its deadline, and a higher one within its
// objective. The simulation compares the credit under the production policy with the credit under plain order of arrival, and
// with an upper bound that no order of service can exceed.
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

// Profile describes a deployment, its offered load and the faults during a simulation.
type Profile struct {
	// Pattern is the name of the profile.
	Pattern string `yaml:"pattern"`
	// Length is the time during which requests arrive.
	Length time.Duration `yaml:"length"`
	// Zones is the number of availability zones, over which targets, balancers and callers are spread evenly.
	Zones     int `yaml:"zones"`
	Balancers int `yaml:"balancers"`
	Targets   int `yaml:"targets"`
	// Slots is the number of requests that a target runs at once, Backlog the number of requests that it queues beyond that.
	Slots   int `yaml:"slots"`
	Backlog int `yaml:"backlog"`
	// For ColdDuration after its start, a target takes ColdFactor times as long for each request.
	ColdDuration time.Duration `yaml:"cold_for"`
	ColdFactor   float64       `yaml:"cold_factor"`
	// CallerDelay is the one-way delay between callers and VMs, VMDelay the one between VMs.
	CallerDelay time.Duration `yaml:"caller_delay"`
	VMDelay     time.Duration `yaml:"node_delay"`
	Classes     []Class       `yaml:"classes"`
	Faults      []Fault       `yaml:"faults"`
}

// Class describes the requests of one route.
type Class struct {
	Name string `yaml:"name"`
	// PerSecond is the mean arrival rate; arrivals are a Poisson process.
	PerSecond float64 `yaml:"per_second"`
	// MeanServiceTime is the mean service time in a warm target. Service times are log-normal, and LogSigma is the standard
	// deviation of their logarithm.
	MeanServiceTime time.Duration `yaml:"work"`
	LogSigma        float64       `yaml:"spread"`
	// Objective and Deadline count from the arrival of a request. A request without an answer fails at its deadline.
	Objective time.Duration `yaml:"objective"`
	Deadline  time.Duration `yaml:"deadline"`
	// OnTimeCredit is the credit of an answer within the objective, LateCredit that of a later one within the deadline.
	OnTimeCredit float64 `yaml:"worth"`
	LateCredit   float64 `yaml:"late"`
	// Priority is lower for more urgent classes.
	Priority uint8 `yaml:"priority"`
	// Retries is the maximum number of attempts after the first one.
	Retries int `yaml:"retries"`
	// IsIdempotent is set when callers retry after any failure; otherwise they retry only a request that has not run.
	IsIdempotent bool `yaml:"idempotent"`
	// PersistentCallers is the number of callers that keep a flow open between requests; zero gives each request a new flow.
	PersistentCallers int `yaml:"users"`
}

// Fault is a fault or a change of the load, usually from At until At+For.
type Fault struct {
	Kind string        `yaml:"kind"`
	At   time.Duration `yaml:"at"`
	For  time.Duration `yaml:"for"`
	// Share is the fraction of the targets, or for Shift of the requests, that are affected. PowerLoss, Restart and Burst ignore
	// it.
	Share float64 `yaml:"share"`
	// Factor multiplies the service times (Slow) or the arrival rates (Burst).
	Factor float64 `yaml:"factor"`
	// Class is the name of the class whose arrival rate a burst multiplies; empty for all classes.
	Class string `yaml:"class"`
}

// Kinds of faults.
const (
	// PowerLoss stops all balancers, agents and targets at once, for the time For; targets restart cold and without flows.
	PowerLoss = "power_loss"
	// Restart stops all balancers and agents for the time For; targets keep running.
	Restart = "restart"
	// Burst multiplies the arrival rates.
	Burst = "burst"
	// Slow multiplies the service times of a share of the targets.
	Slow = "slow"
	// Grey makes a share of the targets answer each request at once with a failure.
	Grey = "grey"
	// Flap crashes and restarts a share of the targets until the arrivals end: each time they are down for For, then up for For.
	Flap = "flap"
	// Release replaces a share of the targets, one after the other; each drains for For.
	Release = "release"
	// Shift moves a share of the requests to the first availability zone.
	Shift = "shift"
)

var faultKinds = []string{PowerLoss, Restart, Burst, Slow, Grey, Flap, Release, Shift}

// Check returns an error for the first value that is out of range.
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

// lastDeadline returns the latest time at which a request can reach its deadline.
func (p *Profile) lastDeadline() time.Duration {
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
		return eris.New("zones, balancers, targets and slots: expected at least 1, a balancer for each zone, and no negative backlog")
	case p.ColdDuration < 0 || p.CallerDelay < 0 || p.VMDelay < 0 || p.ColdFactor < 1:
		return eris.New("cold_for, caller_delay, node_delay, cold_factor: expected no negative time and a factor of at least 1")
	case len(p.Classes) == 0:
		return eris.New("classes: expected at least one")
	}
	return nil
}

// rowError is an error in one row of the profile's list of classes or faults.
type rowError struct {
	list  string
	row   int
	cause error
}

// Error implements error.
func (e rowError) Error() string { return fmt.Sprintf("%s, row %d: %v", e.list, e.row+1, e.cause) }

func (c *Class) check() error {
	switch {
	case c.PerSecond < 0 || c.MeanServiceTime <= 0 || c.LogSigma < 0 || c.Retries < 0 || c.PersistentCallers < 0:
		return eris.New("per_second, work, spread, retries, users: expected no negative value, and work above zero")
	case c.Objective <= 0 || c.Deadline < c.Objective:
		return eris.Errorf("objective %s and deadline %s, expected the deadline not to be earlier", c.Objective, c.Deadline)
	case c.LateCredit < 0 || c.OnTimeCredit < c.LateCredit:
		return eris.Errorf("worth %g and late %g, expected late not to exceed worth", c.OnTimeCredit, c.LateCredit)
	}
	return nil
}

func (f *Fault) check(p *Profile) error {
	isOfClass := func(c Class) bool { return c.Name == f.Class }
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return eris.Errorf("unknown kind, expected one of %v", faultKinds)
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

// LoadProfile reads a profile from a YAML file. A file that names a pattern and lists no classes stands for that pattern.
func LoadProfile(path string) (Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Profile{}, eris.Wrap(err, "read profile")
	}
	return parseProfile(path, raw)
}

func parseProfile(path string, raw []byte) (Profile, error) {
	var p Profile
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&p); err != nil {
		return Profile{}, eris.Wrap(err, path)
	}
	if len(p.Classes) == 0 && p.Pattern != "" {
		named, ok := PatternByName(p.Pattern)
		if !ok {
			return Profile{}, eris.Errorf("%s: unknown pattern %q, and no classes", path, p.Pattern)
		}
		return named, nil
	}
	err := p.Check()
	var row rowError
	if errors.As(err, &row) {
		return p, eris.Errorf("%s:%d: %v", path, lineOfRow(raw, row), err)
	}
	return p, eris.Wrap(err, path)
}

// lineOfRow returns the line of a row in the YAML file, or 1 when it cannot be found.
func lineOfRow(raw []byte, row rowError) int {
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
