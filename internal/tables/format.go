package tables

import (
	"bytes"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

type yamlRoute struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Pool    string `yaml:"pool"`
	Class   string `yaml:"class"`
}

type yamlPool struct {
	Name            string `yaml:"name"`
	Service         uint16 `yaml:"service"`
	ShortReserve    int    `yaml:"short_reserve"`
	QueueLimit      int    `yaml:"queue_limit"`
	DefaultDeadline string `yaml:"default_deadline"`
}

type yamlTables struct {
	Routes []yamlRoute `yaml:"routes"`
	Pools  []yamlPool  `yaml:"pools"`
}

const indent = 2

// Format returns the tables as YAML that Parse reads back.
func (t *Tables) Format() ([]byte, error) {
	var file yamlTables
	for _, r := range t.Routes {
		file.Routes = append(file.Routes, yamlRoute{
			Name: r.Name, Address: r.Address.String(), Pool: r.Pool, Class: r.Class.String(),
		})
	}
	for _, p := range t.Pools {
		file.Pools = append(file.Pools, yamlPool{
			Name: p.Name, Service: p.Service, ShortReserve: p.ShortReserve, QueueLimit: p.QueueLimit,
			DefaultDeadline: p.DefaultDeadline.String(),
		})
	}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(indent)
	err := encoder.Encode(file)
	return out.Bytes(), eris.Wrap(err, "format tables")
}
