package tables

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Undeclared is the value of a limit that the tables leave to the settings of the agents.
const Undeclared = -1

// Parse reads tables from YAML and checks them. The error is an *InvalidError.
func Parse(raw []byte) (*Tables, error) {
	return ParseFile("tables", raw)
}

// ParseFile is Parse with the name of the file for the problems.
func ParseFile(file string, raw []byte) (*Tables, error) {
	p := &parser{file: file}
	t := p.document(raw)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, &InvalidError{Problems: p.problems}
	}
	return t, nil
}

// parser collects the problems of one file.
type parser struct {
	file     string
	problems []Problem
}

func (p *parser) report(line int, field, found, expected string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Field: field, Found: found, Expected: expected})
}

var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (p *parser) reportSyntax(err error) {
	text, line := err.Error(), 0
	if match := yamlLine.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = strings.TrimPrefix(text, match[0])
	}
	p.report(line, "", strings.TrimPrefix(text, "yaml: "), "one YAML document")
}

func (p *parser) document(raw []byte) *Tables {
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	var document, more yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if err == io.EOF {
			err = eris.New("the file is empty")
		}
		p.reportSyntax(err)
		return nil
	}
	if err := decoder.Decode(&more); err != io.EOF {
		p.report(more.Line, "", "a second document", "one YAML document")
		return nil
	}
	return p.tables(document.Content[0])
}

func (p *parser) tables(root *yaml.Node) *Tables {
	t := &Tables{}
	places := newPlaces()
	p.fields(root, "", []field{
		{name: "routes", isRequired: true, read: func(n *yaml.Node, path string) {
			p.rows(n, path, func(row *yaml.Node, path string) { t.Routes = append(t.Routes, p.route(row, path, places)) })
		}},
		{name: "pools", isRequired: true, read: func(n *yaml.Node, path string) {
			p.rows(n, path, func(row *yaml.Node, path string) { t.Pools = append(t.Pools, p.pool(row, path, places)) })
		}},
	})
	p.references(t, places)
	return t
}

// references checks that the pools of the routes exist.
func (p *parser) references(t *Tables, places *places) {
	for i, r := range t.Routes {
		if r.Pool == "" || t.PoolByName(r.Pool) != nil {
			continue
		}
		path := fmt.Sprintf("routes[%d].pool", i)
		p.report(places.pools[path], path, quote(r.Pool)+" is not declared", "the name of a pool in this file")
	}
}

func (p *parser) rows(list *yaml.Node, path string, read func(row *yaml.Node, path string)) {
	if list.Kind == yaml.ScalarNode && list.Tag == "!!null" {
		return
	}
	if list.Kind != yaml.SequenceNode {
		p.report(list.Line, path, describe(list), "a list of rows")
		return
	}
	for i, row := range list.Content {
		read(row, fmt.Sprintf("%s[%d]", path, i))
	}
}

// field is one field that a mapping may have.
type field struct {
	name       string
	isRequired bool
	read       func(value *yaml.Node, path string)
}

// fields reads the fields of a mapping and reports those that are unknown, missing or given twice.
func (p *parser) fields(mapping *yaml.Node, path string, known []field) {
	if mapping.Kind != yaml.MappingNode {
		p.report(mapping.Line, path, describe(mapping), "a mapping with the fields "+names(known))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key, value := mapping.Content[i], mapping.Content[i+1]
		at := join(path, key.Value)
		n := slices.IndexFunc(known, func(f field) bool { return f.name == key.Value })
		switch first, isTwice := seen[key.Value]; {
		case n < 0:
			p.report(key.Line, at, "an unknown field", "one of "+names(known))
		case isTwice:
			p.report(key.Line, at, fmt.Sprintf("given on line %d already", first), "each field once")
		default:
			known[n].read(value, at)
		}
		seen[key.Value] = key.Line
	}
	for _, f := range known {
		if _, ok := seen[f.name]; !ok && f.isRequired {
			p.report(mapping.Line, join(path, f.name), "missing", "a value")
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func names(fields []field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	default:
		return quote(n.Value)
	}
}
