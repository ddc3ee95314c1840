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
	"sync"
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
	// named are the texts in the String methods of types, by package and type.
	named map[string][]string
	// uses are the calls that count: the family's name in package meter or its
	// value, and the reason where the call gives it.
	uses []use
	// values are the histograms and gauges that the code names.
	values []use
}

// values are the methods of a meter that name a histogram or a gauge.
func values() []string {
	return []string{"Observe", "Histogram", "Set"}
}

type use struct {
	at, family, reason string
}

// scanned reads the code once for all tests.
var scanned = sync.OnceValues(readSource)

func scan(t *testing.T) source {
	t.Helper()
	sc, err := scanned()
	is.New(t).NoErr(err)
	return sc
}

// readSource reads all code but tests, generated code, stand-ins and the lists
// themselves.
func readSource() (source, error) {
	sc := source{consts: map[string]string{}, typed: map[string][]string{}, literals: map[string]bool{}, named: map[string][]string{}}
	var files []*ast.File
	fset := token.NewFileSet()
	for _, root := range []string{"../../core", "../../io"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			skipped := strings.Contains(path, "/io/meter/") || strings.Contains(path, "/io/emul/") || strings.Contains(path, "/io/inner/")
			if err != nil || skipped || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			fl, err := parser.ParseFile(fset, path, nil, 0)
			files = append(files, fl)
			return err
		})
		if err != nil {
			return sc, err
		}
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
	return sc, nil
}

func (sc *source) declare(fl *ast.File) {
	ast.Inspect(fl, func(nd ast.Node) bool {
		switch nd := nd.(type) {
		case *ast.FuncDecl:
			if nd.Name.Name == "String" && nd.Recv != nil {
				sc.name(fl.Name.Name+"."+nameOf(nd.Recv.List[0].Type), nd.Body)
			}
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

func (sc *source) name(typ string, body *ast.BlockStmt) {
	ast.Inspect(body, func(nd ast.Node) bool {
		if bl, ok := nd.(*ast.BasicLit); ok {
			if text, ok := literal(bl); ok && text != "invalid" {
				sc.named[typ] = append(sc.named[typ], text)
			}
		}
		return true
	})
}

func (sc *source) call(fset *token.FileSet, pkg string, call *ast.CallExpr) {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !strings.EqualFold(lastName(sel.X), "meter") && lastName(sel.X) != "mt" {
		return
	}
	at := fset.Position(call.Pos()).String()
	if slices.Contains(values(), sel.Sel.Name) {
		sc.values = append(sc.values, use{at: at, family: sc.familyOf(pkg, call.Args[0])})
		return
	}
	if len(call.Args) < 2 || !slices.Contains([]string{"Count", "Add", "Counter"}, sel.Sel.Name) {
		return
	}
	reason, _ := literal(call.Args[1])
	switch arg := call.Args[1].(type) {
	case *ast.Ident:
		reason = sc.consts[pkg+"."+arg.Name]
	case *ast.SelectorExpr:
		reason = sc.consts[nameOf(arg.X)+"."+arg.Sel.Name]
	}
	sc.uses = append(sc.uses, use{at: at, family: sc.familyOf(pkg, call.Args[0]), reason: reason})
}

// familyOf is the name of a constant of package meter, or a value.
func (sc *source) familyOf(pkg string, arg ast.Expr) string {
	switch from := arg.(type) {
	case *ast.SelectorExpr:
		return from.Sel.Name
	case *ast.Ident:
		return sc.consts[pkg+"."+from.Name]
	case *ast.BasicLit:
		text, _ := literal(from)
		return text
	default:
		return "?"
	}
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
	sc := source{consts: map[string]string{}, typed: map[string][]string{}, literals: map[string]bool{}, named: map[string][]string{}}
	sc.declare(fl)
	out := map[string]string{}
	for name, value := range sc.consts {
		out[strings.TrimPrefix(name, "meter.")] = value
	}
	return out
}

// wanted complains of what the code counts and no list has.
type wanted struct {
	t     *testing.T
	lists map[string][]string
}

func (wa wanted) want(at, family, reason string) {
	wa.t.Helper()
	switch {
	case wa.lists[family] == nil:
		wa.t.Errorf("%s: there is no family %s", at, family)
	case reason != "" && !slices.Contains(wa.lists[family], reason):
		wa.t.Errorf("%s: counts %s.%s, which io/meter/families.go does not list", at, family, reason)
	}
}

// all wants each of some reasons, of which there must be any.
func (wa wanted) all(at, family string, reasons []string) {
	wa.t.Helper()
	if len(reasons) == 0 {
		wa.t.Errorf("%s has no values", at)
	}
	for _, reason := range reasons {
		wa.want(at, family, reason)
	}
}

// Whatever the code counts must be in the lists, or it is missing from the page
// that operators read.
func TestCodeIsListed(t *testing.T) {
	sc, fams := scan(t), families(t)
	wa := wanted{t: t, lists: meter.Reasons()}
	for _, us := range sc.uses {
		family := us.family
		if value, ok := fams[family]; ok {
			family = value
		}
		wa.want(us.at, family, us.reason)
	}
	// Where a reason is a variable, it holds one of these.
	for _, family := range []string{meter.Upstream, meter.Retry, meter.Incomplete} {
		wa.all("wire.Refusal", family, sc.typed["wire.Refusal"])
		wa.all("upst.Kind", family, sc.typed["upst.Kind"])
	}
	wa.all("relay.Kind", meter.Upstream, sc.typed["relay.Kind"])
	for _, verdict := range sc.named["fanout.Verdict"] {
		if verdict != "served" && verdict != "open" {
			wa.want("fanout.Verdict", meter.Retry, verdict)
			wa.want("fanout.Verdict", meter.Upstream, verdict)
		}
	}
	wa.all("team.Class", meter.Admitted, sc.typed["team.Class"])
	wa.all("wire.Outcome", meter.Outcome, sc.typed["wire.Outcome"])
	wa.all("wire.ChangeResult", meter.Change, sc.typed["wire.ChangeResult"])
	wa.all("upst.event", meter.Connection, sc.named["upst.event"])
	wa.all("member.State", meter.Member, sc.named["member.State"])
	for _, state := range sc.named["view.State"] {
		wa.want("view.State", meter.ServerState, state)
	}
	for _, kind := range sc.named["server.SignKind"] {
		wa.want("server.SignKind", meter.Sign, kind)
	}
	for _, kind := range sc.typed["spread.AlarmKind"] {
		wa.want("spread.AlarmKind", meter.Config, "alarm."+kind)
	}
}

// Constants called Reason are reasons, whether a call with one is found or not.
func TestReasonsAreListed(t *testing.T) {
	sc := scan(t)
	wa := wanted{t: t, lists: meter.Reasons()}
	for name, reason := range sc.consts {
		pkg, id, _ := strings.Cut(name, ".")
		if !strings.HasPrefix(id, "Reason") {
			continue
		}
		switch pkg {
		case "drive", "search", "fanout":
			wa.want(name, meter.Incomplete, reason)
		case "admit", "share":
			wa.want(name, meter.Refusal, reason)
			wa.want(name, meter.Incomplete, reason)
		case "front":
			wa.want(name, meter.Refusal, reason)
		case "guard":
			wa.want(name, meter.Refusal, reason)
			wa.want(name, meter.Operator, reason)
		case "oper":
			wa.want(name, meter.Operator, reason)
		case "carry":
			wa.want(name, meter.Sent, reason)
		default:
			t.Errorf("%s: say in this test under which family it is counted", name)
		}
	}
}

// Histograms and gauges that the code names must be in the lists too.
func TestValuesAreListed(t *testing.T) {
	sc, fams := scan(t), families(t)
	known := append(meter.Gauges(), meter.Histograms()...)
	for _, us := range sc.values {
		name := us.family
		if value, ok := fams[name]; ok {
			name = value
		}
		if !slices.Contains(known, name) {
			t.Errorf("%s: io/meter/families.go does not list %q", us.at, name)
		}
	}
}

// Each family must be counted by somebody: a counter of retries that stays at
// nought would say that there are none.
func TestFamiliesAreCounted(t *testing.T) {
	sc, fams := scan(t), families(t)
	used := map[string]bool{}
	for _, us := range sc.uses {
		family := us.family
		if value, ok := fams[family]; ok {
			family = value
		}
		used[family] = true
	}
	for family := range meter.Reasons() {
		if !used[family] {
			t.Errorf("nothing counts %s", family)
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
			made := said(strings.TrimSuffix(reason, "Failed")) || said(reason[strings.Index(reason, ".")+1:])
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
