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

// Undeclared is the value of a limit that the tables do not declare, so that the settings of each agent apply.
const Undeclared = -1

// Parse parses tables in YAML and checks their consistency. Its error is an *InvalidError that lists all problems.
func Parse(raw []byte) (*Tables, error) {
	return ParseFile("tables", raw)
}

// ParseFile is like Parse and shows the given file name in the problems.
func ParseFile(file string, raw []byte) (*Tables, error) {
	p := &parser{file: file}
	t := p.parseDocument(raw)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, &InvalidError{Problems: p.problems}
	}
	return t, nil
}

// parser parses one file and collects its problems.
type parser struct {
	file     string
	problems []Problem
}

func (p *parser) report(line int, field, found, expected string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Field: field, Found: found, Expected: expected})
}

// yamlLine matches the start of those syntax errors of the YAML package that name a line.
var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (p *parser) reportSyntax(err error) {
	text, line := err.Error(), 0
	if match := yamlLine.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = strings.TrimPrefix(text, match[0])
	}
	p.report(line, "", strings.TrimPrefix(text, "yaml: "), "one YAML document")
}

// parseDocument parses a file that has to be a single YAML document.
func (p *parser) parseDocument(raw []byte) *Tables {
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	var document, second yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if err == io.EOF {
			err = eris.New("the file is empty")
		}
		p.reportSyntax(err)
		return nil
	}
	if err := decoder.Decode(&second); err != io.EOF {
		p.report(second.Line, "", "a second document", "one YAML document")
		return nil
	}
	return p.parseTables(document.Content[0])
}

func (p *parser) parseTables(root *yaml.Node) *Tables {
	t := &Tables{}
	lines := newFieldLines()
	p.parseFields(root, "", []field{
		{name: "routes", isRequired: true, parse: func(n *yaml.Node, path string) {
			p.parseRows(n, path, func(row *yaml.Node, path string) { t.Routes = append(t.Routes, p.parseRoute(row, path, lines)) })
		}},
		{name: "pools", isRequired: true, parse: func(n *yaml.Node, path string) {
			p.parseRows(n, path, func(row *yaml.Node, path string) { t.Pools = append(t.Pools, p.parsePool(row, path, lines)) })
		}},
	})
	p.checkReferences(t, lines)
	return t
}

// checkReferences reports the routes whose pool is not declared.
func (p *parser) checkReferences(t *Tables, lines *fieldLines) {
	for i, r := range t.Routes {
		if r.Pool == "" || t.PoolByName(r.Pool) != nil {
			continue
		}
		path := fmt.Sprintf("routes[%d].pool", i)
		p.report(lines.routePools[path], path, quote(r.Pool)+" is not declared", "the name of a pool in this file")
	}
}

// parseRows calls parseRow for each row of a list. Null stands for an empty list.
func (p *parser) parseRows(list *yaml.Node, path string, parseRow func(row *yaml.Node, path string)) {
	if list.Kind == yaml.ScalarNode && list.Tag == "!!null" {
		return
	}
	if list.Kind != yaml.SequenceNode {
		p.report(list.Line, path, describeNode(list), "a list of rows")
		return
	}
	for i, row := range list.Content {
		parseRow(row, fmt.Sprintf("%s[%d]", path, i))
	}
}

// field is a field that a mapping may have.
type field struct {
	name       string
	isRequired bool
	parse      func(value *yaml.Node, path string)
}

// parseFields parses the fields of a mapping and reports those that are unknown, missing or given twice.
func (p *parser) parseFields(mapping *yaml.Node, path string, known []field) {
	if mapping.Kind != yaml.MappingNode {
		p.report(mapping.Line, path, describeNode(mapping), "a mapping with the fields "+fieldNames(known))
		return
	}
	lines := make(map[string]int)
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key, value := mapping.Content[i], mapping.Content[i+1]
		fieldPath := joinPath(path, key.Value)
		n := slices.IndexFunc(known, func(f field) bool { return f.name == key.Value })
		switch first, isTwice := lines[key.Value]; {
		case n < 0:
			p.report(key.Line, fieldPath, "an unknown field", "one of "+fieldNames(known))
		case isTwice:
			p.report(key.Line, fieldPath, fmt.Sprintf("given on line %d already", first), "each field once")
		default:
			known[n].parse(value, fieldPath)
		}
		lines[key.Value] = key.Line
	}
	for _, f := range known {
		if _, ok := lines[f.name]; !ok && f.isRequired {
			p.report(mapping.Line, joinPath(path, f.name), "missing", "a value")
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields []field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}

// describeNode returns what a node is, as the problem's Found shows it.
func describeNode(n *yaml.Node) string {
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
