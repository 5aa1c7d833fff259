package tables

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

const validFile = `routes:
  - name: station-feeds
    address: 203.0.113.1:4431
    pool: requests
    class: feed
  - name: voice-messages
    address: 203.0.113.1:4433
    pool: voice
    class: long
pools:
  - name: requests
    service: 1
    short_reserve: 2
  - name: voice
    service: 2
    queue_limit: 0
    default_deadline: 1m30s
`

func TestFormattedTablesParseToTheSame(t *testing.T) {
	first, err := ParseFile("tables.yaml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := first.Format()
	if err != nil {
		t.Fatal(err)
	}
	second, err := ParseFile("again.yaml", raw)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("got %+v, expected %+v", second, first)
	}
}

func TestProblemHasLineFieldAndExpectation(t *testing.T) {
	cases := []struct{ name, old, new, expected string }{
		{"unknown field", "service: 1\n", "service: 1\n    weight: 3\n",
			"t.yaml:13: pools[0].weight: an unknown field, expected one of name, service, short_reserve, queue_limit, default_deadline"},
		{"missing field", "    class: feed\n", "", "t.yaml:2: routes[0].class: missing, expected a value"},
		{"unknown pool", "pool: voice", "pool: video",
			`t.yaml:8: routes[1].pool: "video" is not declared, expected the name of a pool in this file`},
		{"address twice", ":4433", ":4431",
			`t.yaml:7: routes[1].address: "203.0.113.1:4431" is used on line 3 already, expected a value used once`},
		{"name twice", "name: voice-messages", "name: station-feeds",
			`t.yaml:6: routes[1].name: "station-feeds" is used on line 2 already, expected a value used once`},
		{"service twice", "service: 2", "service: 1",
			`t.yaml:15: pools[1].service: "1" is used on line 12 already, expected a value used once`},
		{"negative limit", "queue_limit: 0", "queue_limit: -1",
			`t.yaml:16: pools[1].queue_limit: "-1", expected a whole number from 0 to 100000`},
		{"negative reserve", "short_reserve: 2", "short_reserve: -2",
			`t.yaml:13: pools[0].short_reserve: "-2", expected a whole number from 0 to 10000`},
		{"service out of range", "service: 2", "service: 65536",
			`t.yaml:15: pools[1].service: "65536", expected a whole number from 1 to 65535`},
		{"bad duration", "1m30s", "90",
			`t.yaml:17: pools[1].default_deadline: "90", expected a duration above 0 and up to 1h0m0s, such as 10s or 500ms`},
		{"bad class", "class: long", "class: slow", `t.yaml:9: routes[1].class: "slow", expected feed, short or long`},
		{"IPv6 address", "203.0.113.1:4433", `"[::1]:4433"`,
			`t.yaml:7: routes[1].address: "[::1]:4433", expected an IPv4 address and port such as 203.0.113.1:4431`},
		{"list for a name", "name: voice\n", "name: [voice]\n", `t.yaml:14: pools[1].name: a list, expected ` + expectedName},
		{"null", "class: long", "class:", `t.yaml:9: routes[1].class: "", expected feed, short or long`},
		{"field twice", "class: long", "class: long\n    class: long",
			"t.yaml:10: routes[1].class: given on line 9 already, expected each field once"},
		{"value over the store's limit", "name: voice\n", "name: " + strings.Repeat("v", 1<<20+1) + "\n",
			"t.yaml:14: pools[1].name: a value of 1048577 bytes, expected at most 1048576 bytes, the limit of a value in the store"},
		{"no table", "pools:", "pool:", "t.yaml:10: pool: an unknown field, expected one of routes, pools"},
		{"syntax", "class: long", "class: [long", "t.yaml:8: did not find expected ',' or ']', expected one YAML document"},
		{"alias", "class: long", "class: *x", "t.yaml: unknown anchor 'x' referenced, expected one YAML document"},
		{"two documents", "pools:", "---\npools:", "t.yaml:10: a second document, expected one YAML document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := strings.Replace(validFile, c.old, c.new, 1)
			_, err := ParseFile("t.yaml", []byte(file))
			if err == nil {
				t.Fatal("no error")
			}
			lines := strings.Split(err.Error(), "\n")
			for _, line := range lines {
				if line == c.expected {
					return
				}
			}
			t.Fatalf("got\n%s\nexpected\n%s", err, c.expected)
		})
	}
}

func TestAllProblemsAreListed(t *testing.T) {
	file := strings.NewReplacer("class: feed", "class: fast", "service: 2", "service: 0", ":4433", "").Replace(validFile)
	_, err := ParseFile("t.yaml", []byte(file))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("got %v, expected three problems", err)
	}
	for i, line := range []int{5, 7, 15} {
		if invalid.Problems[i].Line != line {
			t.Errorf("problem %d is on line %d, expected %d", i, invalid.Problems[i].Line, line)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("routes: &r []\npools: *r\n"))
	f.Add([]byte("routes:\n- &a {name: x, address: '1.2.3.4:5', pool: p, class: feed}\n- *a\npools: []\n"))
	f.Add([]byte("\xff\xfe"))
	f.Add([]byte("---\n---\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, err := ParseFile("fuzz.yaml", raw)
		if err != nil {
			return
		}
		if err := parsed.Check(); err != nil {
			t.Fatalf("inconsistent tables are accepted: %v", err)
		}
		if _, err := parsed.Format(); err != nil {
			t.Fatal(err)
		}
	})
}
