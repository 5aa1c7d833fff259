package keys_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gentianswitch/internal/keys"
)

const (
	secret = "000102030405060708090a0b0c0d0e0f"
	valid  = "current: 2\nkeys:\n  - id: 1\n    secret: " + secret + "\n  - id: 2\n    secret: ff0102030405060708090a0b0c0d0e0f\n"
)

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.yaml")
	tests := []struct {
		name, text string
		// want is part of the expected error, or empty for none.
		want string
	}{
		{"two keys", valid, ""},
		{"empty file", "", "parse key file"},
		{"no keys", "current: 1\n", "current key id 1 is not in the list"},
		{"current key missing", strings.Replace(valid, "current: 2", "current: 3", 1), "current key id 3"},
		{"no current key", strings.Replace(valid, "current: 2\n", "", 1), "field current: missing"},
		{"key twice", strings.Replace(valid, "id: 2", "id: 1", 1), "key id 1 appears twice"},
		{"short secret", strings.Replace(valid, "0e0f", "0e", 1), "key id 1: secret is not 32 hexadecimal digits"},
		{"secret with other characters", strings.Replace(valid, "0e0f", "0e0g", 1), "key id 1: secret is not 32 hexadecimal digits"},
		{"key id above 255", strings.Replace(valid, "id: 2", "id: 256", 1), "line 5"},
		{"unknown field", valid + "extra: 1\n", "field extra not found"},
		{"second document", valid + "---\n" + valid, "one YAML document"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			set, err := keys.Load(path)
			if test.want == "" {
				if err != nil || set.Current().ID != 2 || set.Lookup(1) == nil || len(set.All()) != 2 {
					t.Errorf("got %v, %v", set, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("got %v, expected an error with %q and the path", err, test.want)
			}
		})
	}
}

func TestLoadErrorContainsThePathOfAMissingFile(t *testing.T) {
	if _, err := keys.Load("/nonexistent/keys.yaml"); err == nil || !strings.Contains(err.Error(), "/nonexistent/keys.yaml") {
		t.Errorf("got %v, expected an error with the path", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("current: 1\n"))
	f.Add([]byte("keys: [{id: 1, secret: " + secret + "}]\ncurrent: 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := keys.Parse(bytes.NewReader(text))
		if err == nil && set.Lookup(set.Current().ID) != set.Current() {
			t.Errorf("accepted a set whose current key %d is not in it", set.Current().ID)
		}
	})
}
