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

// source is a parsed Go file of this repository.
type source struct {
	pkg  string // directory below the root, as "internal/router"
	file *ast.File
}

const root = "../.."

// sources parses all Go files of the repository except tests and generated files.
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

// generated parses the generated types of messages, API calls and settings.
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

// pure lists the packages that receive the time and all input as arguments. They may import each
// other and the messages, but no package that sends, serves or reads a clock.
var pure = []string{
	"internal/attempt", "internal/autoscale", "internal/canary", "internal/clocksync", "internal/evacuation", "internal/lease", "internal/placement", "internal/precondition",
	"internal/prefixindex", "internal/quota", "internal/reachability", "internal/rendezvous", "internal/rollout",
	"internal/statesync", "internal/targets", "internal/usage",
}

// impure lists the packages that a pure one must not import, nor any package below them.
var impure = []string{
	"internal/controller", "internal/router", "internal/transport", "internal/upstream", "internal/httpserver", "internal/settings",
	"internal/loop", "internal/dissemination", "internal/metrics",
}

func TestPurePackagesDoNotImportImpureOnes(t *testing.T) {
	imports := importsOf(sources(t))
	for _, pkg := range pure {
		for _, imported := range imports[pkg] {
			for _, forbidden := range impure {
				must.False(t, imported == forbidden || strings.HasPrefix(imported, forbidden+"/"), must.Sprintf("%s imports %s", pkg, imported))
			}
		}
	}
}

// A role connects the packages below it. These must import neither the role nor the packages of the
// other role.
func TestPackagesBelowRolesDoNotImportRoles(t *testing.T) {
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

// rolePointerFields lists the fields that still point to a whole role. They are to be removed.
var rolePointerFields = map[string]bool{
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

// isRolePointer reports whether a field is a pointer to a role.
func isRolePointer(field *ast.Field) bool {
	star, ok := field.Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	role, ok := star.X.(*ast.Ident)
	return ok && (role.Name == "Router" || role.Name == "Controller")
}

func TestOnlyListedFieldsPointToRoles(t *testing.T) {
	found := map[string]bool{}
	structs(sources(t), func(pkg, name string, fields []*ast.Field) {
		for _, field := range fields {
			if isRolePointer(field) {
				found[pkg+" "+name+"."+field.Names[0].Name] = true
			}
		}
	})
	must.Eq(t, rolePointerFields, found)
}

// Limits of a type. A larger type usually has several responsibilities.
const (
	maxMethods = 25
	maxFields  = 15
)

// largeTypes lists the types that still exceed a limit, with their numbers of methods and fields.
// The numbers may only decrease: a change that shrinks a type lowers its entry.
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
	"internal/simulation Defects":         {0, 30},
	"internal/simulation engine":          {12, 17},
	"internal/simulation sink":            {18, 17},
	"internal/soak Evidence":              {0, 17},
	"internal/soak evaluator":             {28, 4},
	"internal/standin Config":             {1, 21},
	"internal/standin Runner":             {28, 19},
}

func TestTypesStayWithinMethodAndFieldLimits(t *testing.T) {
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

// receiverType returns the name of a method's receiver type.
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

// withdrawnWords matches words that must not be used as names or parts of names. glossary.md has the
// standard term for each.
var withdrawnWords = regexp.MustCompile(`(?i)^(told|tell|tells|heard|errand|ledger|kin|mates|fellow|ballotBox|news|mishap)$`)

// finishedPackages lists the packages whose names are checked for withdrawn words, together with the
// packages below them.
var finishedPackages = []string{"internal/controller", "internal/router/quotaclient", "internal/router/usagereport", "internal/router/zoneping"}

func TestFinishedPackagesUseNoWithdrawnWords(t *testing.T) {
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

// wordsOf splits a mixed-case name into its words.
func wordsOf(name string) []string { return wordPattern.FindAllString(name, -1) }

// codeName matches a reference to code in docs/architecture.md: a name in backticks of a package with
// a function or type, optionally with a member, or of a type with a method.
var codeName = regexp.MustCompile("`([a-zA-Z][a-zA-Z0-9]*)\\.([a-zA-Z][a-zA-Z0-9]*)(?:\\.([a-zA-Z][a-zA-Z0-9]*))?`")

func TestArchitecturePageNamesExistingCode(t *testing.T) {
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
		if !known[name] && !isCall && !fileExtensions[last] {
			t.Errorf("docs/architecture.md names %s, which does not exist", name)
		}
	}
}

// qualifiedNames returns the declared names as package.Name, package.Type.Member and Type.Member.
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

// fileExtensions lists file extensions, as file names look like references to methods.
var fileExtensions = map[string]bool{"go": true, "md": true, "toml": true, "yaml": true, "json": true}

// declaredNames returns the names declared within a declaration, including fields, parameters and
// local variables.
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

// definedNames returns the names on the left-hand side of a short variable declaration.
func definedNames(left []ast.Expr) []string {
	var names []string
	for _, expr := range left {
		if ident, ok := expr.(*ast.Ident); ok {
			names = append(names, ident.Name)
		}
	}
	return names
}
