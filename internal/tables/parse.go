package tables

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"gentianswitch/internal/class"
)

// HeadKey is the key of the head of the configuration in the store.
const HeadKey = "gentianswitch/head"

// Defaults of a pool's policy.
const (
	DefaultShortReserve = 1
	DefaultQueueLimit   = 64
	DefaultDeadline     = 10 * time.Second
)

type rawRoute struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Pool    string `yaml:"pool"`
	Class   string `yaml:"class"`
}

type rawPool struct {
	Name            string         `yaml:"name"`
	Service         uint16         `yaml:"service"`
	ShortReserve    *int           `yaml:"short_reserve"`
	QueueLimit      *int           `yaml:"queue_limit"`
	DefaultDeadline *time.Duration `yaml:"default_deadline"`
}

type rawTables struct {
	Routes []rawRoute `yaml:"routes"`
	Pools  []rawPool  `yaml:"pools"`
}

// Parse reads tables from YAML and checks them.
func Parse(raw []byte) (*Tables, error) {
	var file rawTables
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return nil, eris.Wrap(err, "parse tables")
	}
	t := &Tables{}
	for _, r := range file.Pools {
		t.Pools = append(t.Pools, r.checked())
	}
	for _, r := range file.Routes {
		checked, err := r.checked()
		if err != nil {
			return nil, eris.Wrapf(err, "route %s", r.Name)
		}
		if t.PoolByName(checked.Pool) == nil {
			return nil, eris.Errorf("route %s: pool %q is not declared", r.Name, r.Pool)
		}
		t.Routes = append(t.Routes, checked)
	}
	return t, nil
}

func (r rawPool) checked() Pool {
	p := Pool{
		Name: r.Name, Service: r.Service, ShortReserve: DefaultShortReserve,
		QueueLimit: DefaultQueueLimit, DefaultDeadline: DefaultDeadline,
	}
	if r.ShortReserve != nil {
		p.ShortReserve = *r.ShortReserve
	}
	if r.QueueLimit != nil {
		p.QueueLimit = *r.QueueLimit
	}
	if r.DefaultDeadline != nil {
		p.DefaultDeadline = *r.DefaultDeadline
	}
	return p
}

func (r rawRoute) checked() (Route, error) {
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return Route{}, eris.Wrap(err, "address")
	}
	kind, err := class.Parse(r.Class)
	if err != nil {
		return Route{}, err
	}
	return Route{Name: r.Name, Address: address, Pool: r.Pool, Class: kind}, nil
}
