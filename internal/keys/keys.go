// Package keys implements the set of shared secrets that balancers and agents load from their key file. Several keys are
// valid at once so that they can be rotated. The current key is used for new connection IDs and envelopes.
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

// Key is a secret with its identifier. Connection IDs and envelopes made with the secret contain the identifier.
type Key struct {
	ID     uint8
	Secret [SecretSize]byte
}

// Set is a set of keys with distinct identifiers, one of which is current. It is immutable.
type Set struct {
	// byID holds the key with each identifier, or nil.
	byID    [256]*Key
	current *Key
}

// NewSet returns a set of the given keys. The key with the identifier current becomes the current key.
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

// Current returns the key to use for new connection IDs and envelopes.
func (s *Set) Current() *Key {
	return s.current
}

// Lookup returns the key with the given identifier, or nil.
func (s *Set) Lookup(id uint8) *Key {
	return s.byID[id]
}

// All returns the keys of the set in ascending order of their identifiers.
func (s *Set) All() []Key {
	var all []Key
	for _, k := range s.byID {
		if k != nil {
			all = append(all, *k)
		}
	}
	return all
}

// keyEntry is a key as the key file lists it.
type keyEntry struct {
	ID     uint8  `yaml:"id"`
	Secret string `yaml:"secret"`
}

// keyFile is the content of a key file.
type keyFile struct {
	Current *uint8     `yaml:"current"`
	Keys    []keyEntry `yaml:"keys"`
}

// Load reads a key file. Errors contain its path.
func Load(path string) (*Set, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open key file")
	}
	defer func() { _ = file.Close() }()
	set, err := Parse(file)
	return set, eris.Wrapf(err, "parse key file %s", path)
}

// Parse parses the content of a key file. It is one YAML document with two fields: current is the identifier of the
// current key, and keys is a list of keys with id (0 to 255) and secret (32 hexadecimal digits).
func Parse(r io.Reader) (*Set, error) {
	var file keyFile
	decoder := yaml.NewDecoder(r)
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, eris.New("more than one YAML document, expected one YAML document")
	}
	if file.Current == nil {
		return nil, eris.New("field current: missing, expected the id of the current key")
	}
	list := make([]Key, 0, len(file.Keys))
	for _, entry := range file.Keys {
		k, err := parseKey(entry)
		if err != nil {
			return nil, err
		}
		list = append(list, k)
	}
	return NewSet(list, *file.Current)
}

func parseKey(entry keyEntry) (Key, error) {
	secret, err := hex.DecodeString(entry.Secret)
	if err != nil || len(secret) != SecretSize {
		return Key{}, eris.Errorf("key id %d: secret is not %d hexadecimal digits", entry.ID, 2*SecretSize)
	}
	k := Key{ID: entry.ID}
	copy(k.Secret[:], secret)
	return k, nil
}
