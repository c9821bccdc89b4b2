package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// source is a parsed file of this repository, tests and generated files left out.
type source struct {
	pkg  string // directory below the root, as "internal/router"
	file *ast.File
}

const root = "../.."

// sources parses all files of the repository's packages.
func sources(t *testing.T) []source {
	t.Helper()
	var out []source
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		name := entry.Name()
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".gen.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		pkg, err := filepath.Rel(root, filepath.Dir(path))
		out = append(out, source{filepath.ToSlash(pkg), file})
		return err
	})
	must.NoError(t, err)
	must.Greater(t, 100, len(out))
	return out
}

// generated parses the generated types of messages, calls and settings.
func generated(t *testing.T) []source {
	t.Helper()
	var out []source
	paths, err := filepath.Glob(filepath.Join(root, "internal", "*", "types.gen.go"))
	must.NoError(t, err)
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		out = append(out, source{filepath.ToSlash(filepath.Dir(path)), file})
	}
	must.SliceNotEmpty(t, out)
	return out
}

const module = "beechtide.org/beechtide/"

// importsOf returns the packages of this repository that each package imports.
func importsOf(all []source) map[string][]string {
	imports := map[string][]string{}
	for _, s := range all {
		for _, spec := range s.file.Imports {
			if path, ours := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module); ours {
				imports[s.pkg] = append(imports[s.pkg], path)
			}
		}
	}
	return imports
}

// pure are the packages that get the time and all input as arguments: they may import each other and
// the messages, and nothing that sends, serves or reads a clock.
var pure = []string{
	"internal/attempt", "internal/autoscale", "internal/canary", "internal/clocksync", "internal/lease", "internal/placement",
	"internal/prefixindex", "internal/quota", "internal/reachability", "internal/rendezvous", "internal/rollout",
	"internal/statesync", "internal/targets", "internal/usage",
}

// impure are the packages that a pure one must not import.
var impure = []string{
	"internal/controller", "internal/router", "internal/transport", "internal/upstream", "internal/httpserver", "internal/settings",
	"internal/loop", "internal/dissemination", "internal/metrics",
}

func TestPurePackagesImportNothingThatActs(t *testing.T) {
	imports := importsOf(sources(t))
	for _, pkg := range pure {
		for _, imported := range imports[pkg] {
			for _, forbidden := range impure {
				must.False(t, imported == forbidden || strings.HasPrefix(imported, forbidden+"/"), must.Sprintf("%s imports %s", pkg, imported))
			}
		}
	}
}

// A role wires the packages below it. These know neither it nor the other role.
func TestPackagesOfARoleDoNotImportTheRole(t *testing.T) {
	for pkg, imported := range importsOf(sources(t)) {
		for _, role := range []string{"internal/controller", "internal/router"} {
			if pkg == "cmd/beechtide" {
				continue
			}
			must.SliceNotContains(t, imported, role, must.Sprintf("%s imports %s", pkg, role))
		}
		for role, other := range map[string]string{"internal/controller": "internal/router/", "internal/router": "internal/controller/"} {
			if pkg == role || strings.HasPrefix(pkg, role+"/") {
				must.False(t, slices.ContainsFunc(imported, func(path string) bool { return strings.HasPrefix(path, other) }), must.Sprint(pkg))
			}
		}
	}
}

// fieldsOfTheWhole are the fields that still point to a whole role, to be taken apart next.
var fieldsOfTheWhole = map[string]bool{
	"internal/router exchange.router":        true,
	"internal/simulation pendingChange.node": true,
	"internal/simulation pendingRead.node":   true,
}

// structs calls visit with each named struct and its fields.
func structs(all []source, visit func(pkg, name string, fields []*ast.Field)) {
	for _, s := range all {
		ast.Inspect(s.file, func(node ast.Node) bool {
			named, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if structure, ok := named.Type.(*ast.StructType); ok {
				visit(s.pkg, named.Name.Name, structure.Fields.List)
			}
			return true
		})
	}
}

// pointsToTheWhole reports whether a field is a pointer to a role.
func pointsToTheWhole(field *ast.Field) bool {
	star, ok := field.Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	whole, ok := star.X.(*ast.Ident)
	return ok && (whole.Name == "Router" || whole.Name == "Controller")
}

func TestNoPartPointsToTheWhole(t *testing.T) {
	found := map[string]bool{}
	structs(sources(t), func(pkg, name string, fields []*ast.Field) {
		for _, field := range fields {
			if pointsToTheWhole(field) {
				found[pkg+" "+name+"."+field.Names[0].Name] = true
			}
		}
	})
	must.Eq(t, fieldsOfTheWhole, found)
}

// Limits of a type: a larger one does several jobs.
const (
	maxMethods = 25
	maxFields  = 15
)

// largeTypes are the types that are still over a limit, with their methods and fields. They may
// only get smaller: an entry is lowered with the code.
var largeTypes = map[string]struct{ methods, fields int }{
	"internal/admission Admission":        {0, 21},
	"internal/admission Admitter":         {103, 24},
	"internal/admission Request":          {0, 17},
	"internal/admission Tuning":           {0, 24},
	"internal/admission runner":           {12, 19},
	"internal/consensus Registers":        {37, 14},
	"internal/consensus Round":            {17, 19},
	"internal/controller Controller":      {97, 34},
	"internal/controller/tallies Service": {38, 15},
	"internal/membership View":            {43, 15},
	"internal/router Router":              {83, 52},
	"internal/router exchange":            {64, 25},
	"internal/simulation Cluster":         {39, 13},
	"internal/simulation Controller":      {56, 17},
	"internal/simulation Counts":          {2, 45},
	"internal/simulation Defects":         {0, 35},
	"internal/simulation engine":          {12, 17},
	"internal/simulation sink":            {18, 17},
	"internal/soak Evidence":              {0, 17},
	"internal/soak judge":                 {28, 4},
	"internal/standin Config":             {1, 21},
	"internal/standin Runner":             {28, 19},
	"internal/tally Replica":              {30, 7},
}

func TestTypesStayWithinTheirLimits(t *testing.T) {
	all := sources(t)
	methods, fieldCount := map[string]int{}, map[string]int{}
	for _, s := range all {
		for _, decl := range s.file.Decls {
			if method, ok := decl.(*ast.FuncDecl); ok && method.Recv != nil {
				methods[s.pkg+" "+receiverType(method)]++
			}
		}
	}
	structs(all, func(pkg, name string, fields []*ast.Field) {
		for _, field := range fields {
			fieldCount[pkg+" "+name] += max(len(field.Names), 1)
		}
	})
	for name, fields := range fieldCount {
		large, allowed := largeTypes[name]
		if !allowed {
			large = struct{ methods, fields int }{maxMethods, maxFields}
		}
		if methods[name] > large.methods || fields > large.fields {
			t.Errorf("%s has %d methods and %d fields", name, methods[name], fields)
		}
	}
}

// receiverType returns the name of a method's type.
func receiverType(method *ast.FuncDecl) string {
	expr := method.Recv.List[0].Type
	for {
		switch typed := expr.(type) {
		case *ast.StarExpr:
			expr = typed.X
		case *ast.IndexExpr:
			expr = typed.X
		case *ast.IndexListExpr:
			expr = typed.X
		case *ast.Ident:
			return typed.Name
		default:
			return ""
		}
	}
}

// withdrawnWords may not come back as names or parts of names: glossary.md has the standard term of
// each.
var withdrawnWords = regexp.MustCompile(`(?i)^(told|tell|tells|heard|errand|ledger|kin|mates|fellow|ballotBox|news|mishap)$`)

// finishedPackages have the standard names throughout.
var finishedPackages = []string{"internal/controller", "internal/router/quotaclient", "internal/router/usagereport", "internal/router/zoneping"}

func TestWithdrawnWordsDoNotComeBack(t *testing.T) {
	for _, s := range sources(t) {
		finished := slices.ContainsFunc(finishedPackages, func(pkg string) bool { return s.pkg == pkg || strings.HasPrefix(s.pkg, pkg+"/") })
		if !finished {
			continue
		}
		for _, decl := range s.file.Decls {
			for _, name := range declaredNames(decl) {
				for _, word := range wordsOf(name) {
					must.False(t, withdrawnWords.MatchString(word), must.Sprintf("%s in %s", name, s.pkg))
				}
			}
		}
	}
}

var wordPattern = regexp.MustCompile(`[A-Z]?[a-z]+`)

// wordsOf cuts a name in mixed case into its words.
func wordsOf(name string) []string { return wordPattern.FindAllString(name, -1) }

// codeName is what docs/architecture.md puts into backticks where it names code: a package with
// a function or type, or a type with a method.
var codeName = regexp.MustCompile("`([a-zA-Z][a-zA-Z0-9]*)\\.([a-zA-Z][a-zA-Z0-9]*)(?:\\.([a-zA-Z][a-zA-Z0-9]*))?`")

func TestArchitecturePageNamesWhatIsThere(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	must.NoError(t, err)
	calls, err := os.ReadFile(filepath.Join(root, "api", "calls.yaml"))
	must.NoError(t, err)
	known := qualifiedNames(append(sources(t), generated(t)...))
	names := codeName.FindAllStringSubmatch(string(page), -1)
	must.Greater(t, 80, len(names))
	for _, parts := range names {
		last := parts[2]
		if parts[3] != "" {
			last = parts[3]
		}
		name := strings.Trim(parts[0], "`")
		isCall := strings.Contains(string(calls), "/api/"+name)
		if !known[name] && !isCall && !fileEndings[last] {
			t.Errorf("nothing is named %s", name)
		}
	}
}

// qualifiedNames returns what is declared as package.Name, package.Type.Member and Type.Member.
func qualifiedNames(all []source) map[string]bool {
	known := map[string]bool{}
	for _, s := range all {
		pkg := s.file.Name.Name
		for _, decl := range s.file.Decls {
			if method, ok := decl.(*ast.FuncDecl); ok && method.Recv != nil {
				addMember(known, pkg, receiverType(method), method.Name.Name)
				continue
			}
			for _, name := range declaredNames(decl) {
				known[pkg+"."+name] = true
			}
		}
	}
	structs(all, func(path, name string, fields []*ast.Field) {
		for _, field := range fields {
			for _, fieldName := range field.Names {
				addMember(known, filepath.Base(path), name, fieldName.Name)
			}
		}
	})
	return known
}

func addMember(known map[string]bool, pkg, name, member string) {
	known[name+"."+member] = true
	known[pkg+"."+name+"."+member] = true
}

// fileEndings are the endings of file names, which look like methods.
var fileEndings = map[string]bool{"go": true, "md": true, "toml": true, "yaml": true, "json": true}

// declaredNames returns the names that a declaration declares, fields of structs included.
func declaredNames(decl ast.Decl) []string {
	var names []string
	ast.Inspect(decl, func(node ast.Node) bool {
		switch typed := node.(type) {
		case *ast.FuncDecl:
			names = append(names, typed.Name.Name)
		case *ast.TypeSpec:
			names = append(names, typed.Name.Name)
		case *ast.Field:
			for _, name := range typed.Names {
				names = append(names, name.Name)
			}
		case *ast.ValueSpec:
			for _, name := range typed.Names {
				names = append(names, name.Name)
			}
		case *ast.AssignStmt:
			if typed.Tok == token.DEFINE {
				names = append(names, definedNames(typed.Lhs)...)
			}
		}
		return true
	})
	return names
}

// definedNames returns the names on the left of a short variable declaration.
func definedNames(left []ast.Expr) []string {
	var names []string
	for _, expr := range left {
		if ident, ok := expr.(*ast.Ident); ok {
			names = append(names, ident.Name)
		}
	}
	return names
}
