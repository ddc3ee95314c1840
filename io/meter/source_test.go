package meter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/meter"
)

// source is what the product's code says of counters.
type source struct {
	// consts are the string constants, by package and name.
	consts map[string]string
	// typed are the values of constants with a type of their own, by package
	// and type.
	typed map[string][]string
	// literals are all strings in the code, constants among them.
	literals map[string]bool
	// uses are the calls that count: the family's name in package meter or its
	// value, and the reason where the call gives it.
	uses []use
}

type use struct {
	at, family, reason string
}

// scan reads all code but tests, generated code, stand-ins and the lists
// themselves.
func scan(t *testing.T) source {
	t.Helper()
	is := is.New(t)
	sc := source{consts: map[string]string{}, typed: map[string][]string{}, literals: map[string]bool{}}
	var files []*ast.File
	fset := token.NewFileSet()
	for _, root := range []string{"../../core", "../../io"} {
		is.NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			skipped := strings.Contains(path, "/io/meter/") || strings.Contains(path, "/io/emul/") || strings.Contains(path, "/io/inner/")
			if err != nil || skipped || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			fl, err := parser.ParseFile(fset, path, nil, 0)
			files = append(files, fl)
			return err
		}))
	}
	for _, fl := range files {
		sc.declare(fl)
	}
	for _, fl := range files {
		ast.Inspect(fl, func(nd ast.Node) bool {
			if call, ok := nd.(*ast.CallExpr); ok {
				sc.call(fset, fl.Name.Name, call)
			}
			return true
		})
	}
	return sc
}

func (sc *source) declare(fl *ast.File) {
	ast.Inspect(fl, func(nd ast.Node) bool {
		switch nd := nd.(type) {
		case *ast.BasicLit:
			if text, ok := literal(nd); ok {
				sc.literals[text] = true
			}
		case *ast.ValueSpec:
			for i, name := range nd.Names {
				if i >= len(nd.Values) {
					continue
				}
				text, ok := literal(nd.Values[i])
				if !ok {
					continue
				}
				sc.consts[fl.Name.Name+"."+name.Name] = text
				if typ, ok := nd.Type.(*ast.Ident); ok {
					key := fl.Name.Name + "." + typ.Name
					sc.typed[key] = append(sc.typed[key], text)
				}
			}
		}
		return true
	})
}

func (sc *source) call(fset *token.FileSet, pkg string, call *ast.CallExpr) {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) < 2 || !slices.Contains([]string{"Count", "Add", "Counter"}, sel.Sel.Name) {
		return
	}
	counts := strings.EqualFold(lastName(sel.X), "meter") || lastName(sel.X) == "mt"
	if !counts {
		return
	}
	family := "?"
	switch from := call.Args[0].(type) {
	case *ast.SelectorExpr:
		family = from.Sel.Name
	case *ast.Ident:
		family = sc.consts[pkg+"."+from.Name]
	case *ast.BasicLit:
		family, _ = literal(from)
	}
	reason, _ := literal(call.Args[1])
	switch arg := call.Args[1].(type) {
	case *ast.Ident:
		reason = sc.consts[pkg+"."+arg.Name]
	case *ast.SelectorExpr:
		reason = sc.consts[nameOf(arg.X)+"."+arg.Sel.Name]
	}
	sc.uses = append(sc.uses, use{at: fset.Position(call.Pos()).String(), family: family, reason: reason})
}

// lastName is what stands after the last dot of an expression.
func lastName(ex ast.Expr) string {
	if sel, ok := ex.(*ast.SelectorExpr); ok {
		return sel.Sel.Name
	}
	return nameOf(ex)
}

func nameOf(ex ast.Expr) string {
	if id, ok := ex.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}

func literal(ex ast.Expr) (string, bool) {
	bl, ok := ex.(*ast.BasicLit)
	if !ok || bl.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(bl.Value)
	return text, err == nil
}

// families maps the constants of package meter to their values.
func families(t *testing.T) map[string]string {
	t.Helper()
	fl, err := parser.ParseFile(token.NewFileSet(), "families.go", nil, 0)
	is.New(t).NoErr(err)
	sc := source{consts: map[string]string{}, typed: map[string][]string{}, literals: map[string]bool{}}
	sc.declare(fl)
	out := map[string]string{}
	for name, value := range sc.consts {
		out[strings.TrimPrefix(name, "meter.")] = value
	}
	return out
}

// Whatever the code counts must be in the lists, or it is missing from the page
// that operators read.
func TestCodeIsListed(t *testing.T) {
	sc, fams, lists := scan(t), families(t), meter.Reasons()
	want := func(at, family, reason string) {
		t.Helper()
		if !slices.Contains(lists[family], reason) {
			t.Errorf("%s: counts %s.%s, which io/meter/families.go does not list", at, family, reason)
		}
	}
	for _, us := range sc.uses {
		family := us.family
		if value, ok := fams[family]; ok {
			family = value
		}
		if lists[family] == nil {
			t.Errorf("%s: there is no family %s", us.at, family)
		}
		if us.reason != "" {
			want(us.at, family, us.reason)
		}
	}
	// Where a reason is a variable, it holds one of these.
	for _, from := range []struct {
		typ    string
		family string
	}{
		{"wire.Refusal", meter.Upstream},
		{"wire.Refusal", meter.Retry},
		{"wire.Refusal", meter.Incomplete},
		{"upst.Kind", meter.Upstream},
		{"upst.Kind", meter.Retry},
		{"upst.Kind", meter.Incomplete},
		{"wire.Outcome", meter.Outcome},
		{"wire.ChangeResult", meter.Change},
	} {
		if len(sc.typed[from.typ]) == 0 {
			t.Errorf("no constants of type %s were found", from.typ)
		}
		for _, reason := range sc.typed[from.typ] {
			want(from.typ, from.family, reason)
		}
	}
	for _, kind := range sc.typed["spread.AlarmKind"] {
		want("spread.AlarmKind", meter.Config, "alarm."+kind)
	}
	for name, reason := range sc.consts {
		pkg, id, _ := strings.Cut(name, ".")
		if !strings.HasPrefix(id, "Reason") {
			continue
		}
		switch pkg {
		case "drive", "search":
			want(name, meter.Incomplete, reason)
		case "guard":
			want(name, meter.Refusal, reason)
			want(name, meter.Operator, reason)
		case "oper":
			want(name, meter.Operator, reason)
		}
	}
}

// A reason that nothing counts any more must leave the lists, and the page with
// them.
func TestListedIsInCode(t *testing.T) {
	sc := scan(t)
	for family, reasons := range meter.Reasons() {
		for _, reason := range reasons {
			said := func(text string) bool { return sc.literals[text] }
			made := said(strings.TrimSuffix(reason, "Failed")) || said(strings.TrimPrefix(reason, "alarm."))
			if !said(reason) && !made {
				t.Errorf("io/meter/families.go lists %s.%s, which the code has nowhere", family, reason)
			}
		}
	}
}

// Each line of the page must name what is counted, and all of it.
func TestPageAgrees(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	told := map[string]bool{}
	row := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (`[^|]+) \\| [^|]+ \\| [^|]+ \\|$")
	for _, cells := range row.FindAllStringSubmatch(string(raw), -1) {
		for group := range strings.SplitSeq(cells[2], ",") {
			name := strings.Trim(strings.TrimSpace(group), "`") + "." + cells[1]
			if told[name] {
				t.Errorf("docs/METRICS.md tells %s twice", name)
			}
			told[name] = true
		}
	}
	for family, reasons := range meter.Reasons() {
		for _, reason := range append(reasons, meter.Other) {
			name := family + "." + reason
			if !told[name] {
				t.Errorf("docs/METRICS.md does not tell of %s", name)
			}
			delete(told, name)
		}
	}
	for _, name := range append(meter.Gauges(), meter.Histograms()...) {
		if !strings.Contains(string(raw), "| `"+name+"` |") {
			t.Errorf("docs/METRICS.md does not tell of %s", name)
		}
	}
	for name := range told {
		t.Errorf("docs/METRICS.md tells of %s, which nothing counts", name)
	}
}
