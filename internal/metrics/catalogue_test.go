package metrics_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gentianswitch/internal/metrics"
)

const page = "../../docs/METRICS.md"

var isUpdate = flag.Bool("update-metrics", false, "regenerate docs/METRICS.md")

func TestMetricsPageIsCurrent(t *testing.T) {
	if *isUpdate {
		if err := os.WriteFile(page, []byte(metrics.Markdown()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil || string(text) != metrics.Markdown() {
		t.Errorf("%s differs from the catalogue (%v): run make docs", page, err)
	}
}

func TestCatalogueMatchesCode(t *testing.T) {
	shared := []string{".", "../program"}
	for program, directories := range map[string][]string{
		metrics.Balancer: append([]string{"../balancer", "../opaque/forwarder"}, shared...),
		metrics.Agent:    append([]string{"../agent", "../opaque/sidecar"}, shared...),
	} {
		var listed []string
		for _, m := range metrics.Catalogue {
			if m.Program == program {
				listed = append(listed, string(m.Kind)+" "+m.Name)
			}
			if m.Unit == "" || m.Meaning == "" {
				t.Errorf("%s_%s has no unit or meaning", m.Program, m.Name)
			}
		}
		slices.Sort(listed)
		var all []string
		for _, directory := range directories {
			all = append(all, usedMetrics(t, directory)...)
		}
		slices.Sort(all)
		if all = slices.Compact(all); !slices.Equal(all, listed) {
			t.Errorf("%v use\n%v\nand the catalogue lists\n%v", directories, all, listed)
		}
	}
}

// usedMetrics returns the kind and name of each metric that the code in a directory gets from a scope.
func usedMetrics(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no code in %s: %v", directory, err)
	}
	var found []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if metric, ok := metricOf(n); ok {
				found = append(found, metric)
			}
			return true
		})
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// metricOf returns the kind and name of the metric if the node is a call such as scope.Counter("name").
func metricOf(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	kinds := []string{"Counter", "Gauge", "Timer", "Histogram"}
	if !ok || !slices.Contains(kinds, method.Sel.Name) {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return strings.ToLower(method.Sel.Name) + " with a name that is not a literal", true
	}
	name, err := strconv.Unquote(literal.Value)
	return strings.ToLower(method.Sel.Name) + " " + name, err == nil
}
