// Package keys implements the set of shared secrets that balancers and agents load from their settings.
// Several keys are valid at once so that they can be rotated; one of them is used for new output.
package keys

import (
	"encoding/hex"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// SecretSize is the length of a secret in bytes.
const SecretSize = 16

// Key is one secret and the identifier that output made with it carries.
type Key struct {
	ID     uint8
	Secret [SecretSize]byte
}

// Set is a checked set of keys. It is immutable.
type Set struct {
	byID    [256]*Key
	current *Key
}

// NewSet returns a set of the given keys that uses the key with the identifier current for new output.
func NewSet(list []Key, current uint8) (*Set, error) {
	s := &Set{}
	for i := range list {
		k := list[i]
		if s.byID[k.ID] != nil {
			return nil, eris.Errorf("key id %d appears twice", k.ID)
		}
		s.byID[k.ID] = &k
	}
	s.current = s.byID[current]
	if s.current == nil {
		return nil, eris.Errorf("current key id %d is not in the list of keys", current)
	}
	return s, nil
}

// Current returns the key for new output.
func (s *Set) Current() *Key {
	return s.current
}

// Lookup returns the key with the given identifier, or nil.
func (s *Set) Lookup(id uint8) *Key {
	return s.byID[id]
}

// All returns every key of the set in the order of the identifiers.
func (s *Set) All() []Key {
	var all []Key
	for _, k := range s.byID {
		if k != nil {
			all = append(all, *k)
		}
	}
	return all
}

type rawKey struct {
	ID     uint8  `yaml:"id"`
	Secret string `yaml:"secret"`
}

type rawFile struct {
	Current *uint8   `yaml:"current"`
	Keys    []rawKey `yaml:"keys"`
}

// Load reads a key file. Errors name the file.
func Load(path string) (*Set, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open key file")
	}
	defer func() { _ = file.Close() }()
	set, err := Parse(file)
	return set, eris.Wrapf(err, "parse key file %s", path)
}

// Parse reads one YAML document with the field current and a list keys of id (0 to 255) and secret
// (32 hexadecimal digits).
func Parse(r io.Reader) (*Set, error) {
	var file rawFile
	decoder := yaml.NewDecoder(r)
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, eris.New("more than one YAML document, expected one YAML document")
	}
	if file.Current == nil {
		return nil, eris.New("field current: missing, expected the id of the key for new output")
	}
	list := make([]Key, 0, len(file.Keys))
	for _, r := range file.Keys {
		k, err := parseKey(r)
		if err != nil {
			return nil, err
		}
		list = append(list, k)
	}
	return NewSet(list, *file.Current)
}

func parseKey(r rawKey) (Key, error) {
	secret, err := hex.DecodeString(r.Secret)
	if err != nil || len(secret) != SecretSize {
		return Key{}, eris.Errorf("key id %d: secret is not %d hexadecimal digits", r.ID, 2*SecretSize)
	}
	k := Key{ID: r.ID}
	copy(k.Secret[:], secret)
	return k, nil
}
