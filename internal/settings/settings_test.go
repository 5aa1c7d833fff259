package settings_test

import (
	"flag"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gentianswitch/internal/settings"
)

const completeFile = `zone: quito
data: 10.1.1.10:4400
control: 10.1.1.10:4401
keys: keys.yaml
certificate: c.pem
certificate-key: k.pem
authority: a.pem
networks:
  - 10.1.1.0/24
  - 10.1.2.0/24
`

type parsed struct {
	settings.Common
	networks []netip.Prefix
	slots    int
}

func parse(path string, args ...string) (parsed, error) {
	var p parsed
	fs := flag.NewFlagSet("program", flag.ContinueOnError)
	p.Define(fs)
	settings.PrefixesVar(fs, &p.networks, "networks", "")
	fs.IntVar(&p.slots, "slots", 1, "")
	err := settings.Parse(fs, append([]string{"--settings", path}, args...), "", io.Discard)
	if err == nil {
		err = p.Check()
	}
	return p, err
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestErrorsNameFileLineAndField(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", completeFile + "zonne: x\n", "FILE:11: field zonne: unknown, expected the name of a setting"},
		{"address without port", strings.Replace(completeFile, ":4401", "", 1), `FILE:3: field control: `},
		{"address without port, what was expected", strings.Replace(completeFile, ":4401", "", 1), `expected an IPv4 address and port such as 10.0.0.1:4400`},
		{"network in a list", strings.Replace(completeFile, "10.1.2.0/24", "10.1.2.0", 1), "FILE:8: field networks: "},
		{"number", completeFile + "slots: many\n", "FILE:11: field slots: "},
		{"field twice", completeFile + "zone: cuenca\n", "FILE:11: field zone: appears twice"},
		{"mapping in place of a value", completeFile + "slots:\n  a: 1\n", "FILE:11: field slots: expected a value or a list of values"},
		{"missing", strings.Replace(completeFile, "zone: quito\n", "", 1), "FILE: field zone: missing, expected a value"},
		{"empty file", "", "FILE: field zone: missing, expected a value"},
		{"list in place of fields", "- zone\n", "FILE: line 1: expected fields with values"},
		{"no YAML", "zone: [", "FILE: yaml: line 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := writeFile(t, test.text)
			_, err := parse(path)
			want := strings.ReplaceAll(test.want, "FILE", path)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, expected an error with %q", err, want)
			}
		})
	}
}

func TestFlagHasPrecedenceOverEnvironmentAndFile(t *testing.T) {
	path := writeFile(t, completeFile+"slots: 2\n")
	p, err := parse(path)
	if err != nil || p.slots != 2 || p.Zone != "quito" || len(p.networks) != 2 {
		t.Fatalf("file: got %+v, %v", p, err)
	}
	t.Setenv("GENTIAN_SLOTS", "3")
	if p, err = parse(path); err != nil || p.slots != 3 {
		t.Errorf("environment: got %d, %v", p.slots, err)
	}
	if p, err = parse(path, "--slots", "4"); err != nil || p.slots != 4 {
		t.Errorf("flag: got %d, %v", p.slots, err)
	}
}

func TestErrorNamesMissingFile(t *testing.T) {
	if _, err := parse("/nonexistent/settings.yaml"); err == nil || !strings.Contains(err.Error(), "/nonexistent/settings.yaml") {
		t.Errorf("got %v", err)
	}
}

func TestHelp(t *testing.T) {
	if _, err := parse("", "--help"); err != flag.ErrHelp {
		t.Errorf("got %v, expected %v", err, flag.ErrHelp)
	}
}

func TestHelpShowsFlagsWithTwoDashes(t *testing.T) {
	var help strings.Builder
	fs := flag.NewFlagSet("program", flag.ContinueOnError)
	fs.Int("slots", 5, "`number` of requests")
	err := settings.Parse(fs, []string{"--help"}, "program --slots 3", &help)
	if err != flag.ErrHelp || !strings.Contains(help.String(), "  --slots number\n    \tnumber of requests (default 5)\n") {
		t.Errorf("got %v and\n%s", err, help.String())
	}
}
