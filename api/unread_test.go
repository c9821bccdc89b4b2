package api

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// unread lists the fields of calls and settings that are accepted and that no code goes by, each
// with its reason. A field that is read is taken off the list; a new one that is not read has to
// be used or to be listed here.
var unread = map[string]string{
	"Engine.Concurrency":  "calls held at a runner: two controllers read each one, far below any bound",
	"Engine.Stride":       "tokens an event: nothing depends on it",
	"Report.Phase":        "runners of one phase only are deployed",
	"Service.Concurrency": "as Engine.Concurrency, of a store",
	"Service.Protocol":    "only h1 is deployed",
	"Service.SettleS":     "heartbeats say how long a runner is cold",
	"Service.TLS":         "only plain connections are deployed",
	"ReplaceConfigParams.BeechtideBaseVersion": "generated; the header is read by its name",
	"Bounds.AckMs":          "orders are answered within operatorWait, which is shorter",
	"Bounds.EvacuateMs":     "feeds bring an evacuation far earlier",
	"Bounds.Fenced":         "fences are sent and kept in order in either case",
	"Bounds.MergeMs":        "replicas compare every 0.5 s",
	"Bounds.RollbackMs":     "a version is reverted as soon as its outcomes show that it is worse",
	"Bounds.TransitMs":      "events are passed on as they come",
	"Bounds.UsageDelayS":    "a gap: the times of usage.Plan are constants",
	"Cloud.DutyPerS":        "a gap: calls go one at a time for each duty",
	"Limits.Cores":          "nothing is sized by it",
	"Limits.CpuShare":       "nothing is sized by it",
	"Limits.FdLimit":        "nothing is sized by it",
	"Settings.Invariants":   "all rules are kept whichever are in force",
	"Settings.MachineClass": "roles do not depend on it",
	"Settings.Region":       "Zones has the region of every zone",
	"Tolerance.Regions":     "groups are made by machines and zones",
}

// generated are the files whose types come from outside: calls and settings.
var generated = []string{"../internal/api/types.gen.go", "../internal/settings/types.gen.go"}

// fields lists the fields of the structures in a file, as Type.Field.
func fields(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	must.NoError(t, err)
	var out []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					out = append(out, spec.Name.Name+"."+name.Name)
				}
			}
		}
		return false
	})
	return out
}

// selected collects the names that the program selects of any value.
func selected(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, root := range []string{"../internal", "../cmd"} {
		must.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".gen.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if selector, ok := node.(*ast.SelectorExpr); ok {
					names[selector.Sel.Name] = true
				}
				return true
			})
			return nil
		}))
	}
	return names
}

// A field that is accepted, kept and distributed, and never used, breaks rules silently
// (docs/incidents/limits-not-counted.md). The test goes by names: a field that shares its name
// with one that is read passes.
func TestEveryFieldOfCallsAndSettingsIsReadOrListed(t *testing.T) {
	names, found := selected(t), map[string]bool{}
	for _, path := range generated {
		for _, field := range fields(t, path) {
			if _, name, _ := strings.Cut(field, "."); !names[name] {
				found[field] = true
			}
		}
	}
	must.Eq(t, slices.Sorted(maps.Keys(unread)), slices.Sorted(maps.Keys(found)))
}
