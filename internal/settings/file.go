package settings

import (
	"errors"
	"flag"
	"io"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// settingsFileFlag is the name of the flag with the path of the settings file.
const settingsFileFlag = "settings"

// fileParser returns the parser of settings files that the package ff calls. Its errors name the file, the line and the
// field.
func fileParser(fs *flag.FlagSet) func(r io.Reader, set func(name, value string) error) error {
	return func(r io.Reader, set func(name, value string) error) error {
		path := fs.Lookup(settingsFileFlag).Value.String()
		fields, err := readFields(r)
		if err != nil {
			return eris.Wrap(err, path)
		}
		seen := make(map[string]bool, len(fields))
		for _, f := range fields {
			if err := f.apply(fs, seen, set); err != nil {
				return eris.Errorf("%s:%d: field %s: %v", path, f.line, f.name, err)
			}
		}
		return nil
	}
}

// field is one field of a settings file with its values: one for a scalar, several for a list.
type field struct {
	name   string
	line   int
	values []*yaml.Node
}

// readFields reads a YAML document that is a mapping. An empty file has no fields.
func readFields(r io.Reader) ([]field, error) {
	var document yaml.Node
	err := yaml.NewDecoder(r).Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return nil, eris.Errorf("line %d: expected fields with values", root.Line)
	}
	var fields []field
	for i := 0; i+1 < len(root.Content); i += 2 {
		name, value := root.Content[i], root.Content[i+1]
		f := field{name: name.Value, line: name.Line, values: []*yaml.Node{value}}
		if value.Kind == yaml.SequenceNode {
			f.values = value.Content
		}
		fields = append(fields, f)
	}
	return fields, nil
}

// apply sets the flag that has the name of the field. Errors of set wrap the error of the flag and name the flag again; apply
// returns the wrapped error, since the caller adds the name.
func (f field) apply(fs *flag.FlagSet, seen map[string]bool, set func(name, value string) error) error {
	if fs.Lookup(f.name) == nil {
		return eris.New("unknown, expected the name of a setting; --help lists them")
	}
	if seen[f.name] {
		return eris.New("appears twice, expected once")
	}
	seen[f.name] = true
	for _, value := range f.values {
		if value.Kind != yaml.ScalarNode {
			return eris.New("expected a value or a list of values")
		}
		if err := set(f.name, value.Value); err != nil {
			return errors.Unwrap(err)
		}
	}
	return nil
}
