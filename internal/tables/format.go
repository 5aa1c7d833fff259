package tables

import (
	"bytes"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Document is the representation of the tables in YAML files and in the operator's JSON output.
type Document struct {
	Routes []RouteDocument `yaml:"routes" json:"routes"`
	Pools  []PoolDocument  `yaml:"pools" json:"pools"`
}

// RouteDocument is a route in a Document.
type RouteDocument struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Pool    string `yaml:"pool" json:"pool"`
	Class   string `yaml:"class" json:"class"`
}

// PoolDocument is a pool in a Document. Limits and deadlines that the pool does not declare are omitted.
type PoolDocument struct {
	Name            string `yaml:"name" json:"name"`
	Service         uint16 `yaml:"service" json:"service"`
	ShortReserve    *int   `yaml:"short_reserve,omitempty" json:"short_reserve,omitempty"`
	QueueLimit      *int   `yaml:"queue_limit,omitempty" json:"queue_limit,omitempty"`
	DefaultDeadline string `yaml:"default_deadline,omitempty" json:"default_deadline,omitempty"`
}

// Document returns the route as it is written in files.
func (r Route) Document() RouteDocument {
	return RouteDocument{Name: r.Name, Address: r.Address.String(), Pool: r.Pool, Class: r.Class.String()}
}

// Document returns the pool as it is written in files.
func (p Pool) Document() PoolDocument {
	d := PoolDocument{
		Name: p.Name, Service: p.Service, ShortReserve: declaredLimit(p.ShortReserve), QueueLimit: declaredLimit(p.QueueLimit),
	}
	if p.DefaultDeadline > 0 {
		d.DefaultDeadline = p.DefaultDeadline.String()
	}
	return d
}

// declaredLimit returns nil for an undeclared limit.
func declaredLimit(value int) *int {
	if value == Undeclared {
		return nil
	}
	return &value
}

// Document returns the tables as they are written in files.
func (t *Tables) Document() Document {
	d := Document{Routes: []RouteDocument{}, Pools: []PoolDocument{}}
	for _, r := range t.Routes {
		d.Routes = append(d.Routes, r.Document())
	}
	for _, p := range t.Pools {
		d.Pools = append(d.Pools, p.Document())
	}
	return d
}

// indent is the indentation of formatted YAML, in spaces.
const indent = 2

// Format returns the tables as YAML. Parse returns the same tables for it.
func (t *Tables) Format() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(indent)
	err := encoder.Encode(t.Document())
	return out.Bytes(), eris.Wrap(err, "format tables")
}
