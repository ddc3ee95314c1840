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

// source is what the product's code contains about metrics.
type source struct {
	// consts are the string constants, by package and name.
	consts map[string]string
	// typed are the values of typed string constants, by package and type.
	typed map[string][]string
	// literals are all string literals in the code, including constants.
	literals map[string]bool
	// stringTexts are the literals in the String methods of types, by package and type.
	stringTexts map[string][]string
	// uses are the calls that count. Each has the family, as the name of a constant of package
	// meter or as its value, and the reason if the call has a literal or constant one.
	uses []use
	// values are the histograms and gauges that the code uses.
	values []use
}

// valueMethods returns the methods of a meter whose argument is the name of a histogram or
// gauge.
func valueMethods() []string {
	return []string{"Observe", "Histogram", "Set"}
}

type use struct {
	at, family, reason string
}

// readSourceOnce reads the code once for all tests.
var readSourceOnce = sync.OnceValues(readSource)

func loadSource(t *testing.T) source {
	t.Helper()
	sc, err := readSourceOnce()
	is.New(t).NoErr(err)
	return sc
}

// readSource parses all code except tests, generated code, emulators and the lists themselves.
func readSource() (source, error) {
	sc := source{consts: map[string]string{}, typed: map[string][]string{}, literals: map[string]bool{}, stringTexts: map[string][]string{}}
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
		sc.addDeclarations(fl)
	}
	for _, fl := range files {
		ast.Inspect(fl, func(nd ast.Node) bool {
			if call, ok := nd.(*ast.CallExpr); ok {
				sc.addCall(fset, fl.Name.Name, call)
			}
			return true
		})
	}
	return sc, nil
}

func (sc *source) addDeclarations(fl *ast.File) {
	ast.Inspect(fl, func(nd ast.Node) bool {
		switch nd := nd.(type) {
		case *ast.FuncDecl:
			if nd.Name.Name == "String" && nd.Recv != nil {
				sc.addStringMethod(fl.Name.Name+"."+nameOf(nd.Recv.List[0].Type), nd.Body)
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

func (sc *source) addStringMethod(typ string, body *ast.BlockStmt) {
	ast.Inspect(body, func(nd ast.Node) bool {
		if bl, ok := nd.(*ast.BasicLit); ok {
			if text, ok := literal(bl); ok && text != "invalid" {
				sc.stringTexts[typ] = append(sc.stringTexts[typ], text)
			}
		}
		return true
	})
}

func (sc *source) addCall(fset *token.FileSet, pkg string, call *ast.CallExpr) {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !strings.EqualFold(lastName(sel.X), "meter") && lastName(sel.X) != "mt" {
		return
	}
	at := fset.Position(call.Pos()).String()
	if slices.Contains(valueMethods(), sel.Sel.Name) {
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

// familyOf returns the name of a constant of package meter, or the value of a literal or local
// constant.
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

// lastName returns the identifier after the last dot of an expression.
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
	sc := source{consts: map[string]string{}, typed: map[string][]string{}, literals: map[string]bool{}, stringTexts: map[string][]string{}}
	sc.addDeclarations(fl)
	out := map[string]string{}
	for name, value := range sc.consts {
		out[strings.TrimPrefix(name, "meter.")] = value
	}
	return out
}

// listChecker reports reasons that the code counts and no list has.
type listChecker struct {
	t     *testing.T
	lists map[string][]string
}

func (lc listChecker) check(at, family, reason string) {
	lc.t.Helper()
	switch {
	case lc.lists[family] == nil:
		lc.t.Errorf("%s: family %s does not exist", at, family)
	case reason != "" && !slices.Contains(lc.lists[family], reason):
		lc.t.Errorf("%s: counts %s.%s, which io/meter/families.go does not list", at, family, reason)
	}
}

// checkAll checks each of the reasons, of which there must be at least one.
func (lc listChecker) checkAll(at, family string, reasons []string) {
	lc.t.Helper()
	if len(reasons) == 0 {
		lc.t.Errorf("%s has no values", at)
	}
	for _, reason := range reasons {
		lc.check(at, family, reason)
	}
}

// Whatever the code counts must be listed, or it is missing from the page for operators.
func TestCodeIsListed(t *testing.T) {
	sc, fams := loadSource(t), families(t)
	lc := listChecker{t: t, lists: meter.Reasons()}
	for _, us := range sc.uses {
		family := us.family
		if value, ok := fams[family]; ok {
			family = value
		}
		lc.check(us.at, family, us.reason)
	}
	// Reasons that are variables have one of these values.
	for _, family := range []string{meter.Upstream, meter.Retry, meter.Incomplete} {
		lc.checkAll("wire.Refusal", family, sc.typed["wire.Refusal"])
		lc.checkAll("upst.Kind", family, sc.typed["upst.Kind"])
	}
	lc.checkAll("relay.Kind", meter.Upstream, sc.typed["relay.Kind"])
	for _, verdict := range sc.stringTexts["fanout.Verdict"] {
		if verdict != "served" && verdict != "open" {
			lc.check("fanout.Verdict", meter.Retry, verdict)
			lc.check("fanout.Verdict", meter.Upstream, verdict)
		}
	}
	lc.checkAll("team.Class", meter.Admitted, sc.typed["team.Class"])
	lc.checkAll("wire.Outcome", meter.Outcome, sc.typed["wire.Outcome"])
	lc.checkAll("wire.ChangeResult", meter.Change, sc.typed["wire.ChangeResult"])
	lc.checkAll("upst.event", meter.Connection, sc.stringTexts["upst.event"])
	lc.checkAll("member.State", meter.Member, sc.stringTexts["member.State"])
	for _, state := range sc.stringTexts["view.State"] {
		lc.check("view.State", meter.ServerState, state)
	}
	for _, kind := range sc.stringTexts["server.SignKind"] {
		lc.check("server.SignKind", meter.Sign, kind)
	}
	for _, kind := range sc.typed["spread.AlarmKind"] {
		lc.check("spread.AlarmKind", meter.Config, "alarm."+kind)
	}
}

// Constants whose names begin with Reason are reasons, whether or not a call with them is found.
func TestReasonsAreListed(t *testing.T) {
	sc := loadSource(t)
	lc := listChecker{t: t, lists: meter.Reasons()}
	for name, reason := range sc.consts {
		pkg, id, _ := strings.Cut(name, ".")
		if !strings.HasPrefix(id, "Reason") {
			continue
		}
		switch pkg {
		case "drive", "search", "fanout":
			lc.check(name, meter.Incomplete, reason)
		case "admit", "share":
			lc.check(name, meter.Refusal, reason)
			lc.check(name, meter.Incomplete, reason)
		case "front", "acct":
			lc.check(name, meter.Refusal, reason)
		case "guard":
			lc.check(name, meter.Refusal, reason)
			lc.check(name, meter.Operator, reason)
		case "oper":
			lc.check(name, meter.Operator, reason)
		case "remote":
			lc.check(name, meter.Sent, reason)
		default:
			t.Errorf("%s: say in this test under which family it is counted", name)
		}
	}
}

// Histograms and gauges that the code uses must be listed too.
func TestValuesAreListed(t *testing.T) {
	sc, fams := loadSource(t), families(t)
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

// Each family must be counted somewhere: a counter of retries that always stays 0 would suggest
// that there are none.
func TestFamiliesAreCounted(t *testing.T) {
	sc, fams := loadSource(t), families(t)
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

// A reason that is no longer counted must be removed from the lists, and so from the page.
func TestListedIsInCode(t *testing.T) {
	sc := loadSource(t)
	for family, reasons := range meter.Reasons() {
		for _, reason := range reasons {
			hasLiteral := func(text string) bool { return sc.literals[text] }
			derived := hasLiteral(strings.TrimSuffix(reason, "Failed")) || hasLiteral(reason[strings.Index(reason, ".")+1:])
			if !hasLiteral(reason) && !derived {
				t.Errorf("io/meter/families.go lists %s.%s, which is not in the code", family, reason)
			}
		}
	}
}

// Each line of the page must name an existing metric, and the page must have all of them.
func TestMetricsPageMatches(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	documented := map[string]bool{}
	row := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (`[^|]+) \\| [^|]+ \\| [^|]+ \\|$")
	for _, cells := range row.FindAllStringSubmatch(string(raw), -1) {
		for group := range strings.SplitSeq(cells[2], ",") {
			name := strings.Trim(strings.TrimSpace(group), "`") + "." + cells[1]
			if documented[name] {
				t.Errorf("docs/METRICS.md has %s twice", name)
			}
			documented[name] = true
		}
	}
	for family, reasons := range meter.Reasons() {
		for _, reason := range append(reasons, meter.Other) {
			name := family + "." + reason
			if !documented[name] {
				t.Errorf("docs/METRICS.md does not have %s", name)
			}
			delete(documented, name)
		}
	}
	for _, name := range append(meter.Gauges(), meter.Histograms()...) {
		if !strings.Contains(string(raw), "| `"+name+"` |") {
			t.Errorf("docs/METRICS.md does not have %s", name)
		}
	}
	for name := range documented {
		t.Errorf("docs/METRICS.md has %s, which nothing counts", name)
	}
}
