package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"laburnumvane/core/team"
)

const (
	schemaFile = "team.schema.json"
	badFiles   = "../../core/team/testdata/bad/*.json"
	pageFile   = "../CONFIG.md"
)

func TestSchema_UpToDate(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), schemaFile)
	is.NoErr(write(path))
	is.Equal(readFile(t, schemaFile), readFile(t, path)) // run go generate ./docs/schema
}

func TestSchema_Good(t *testing.T) {
	sch := compile(t)
	for _, path := range []string{
		"../examples/pettigrew.json",
		"../examples/kalimba.json",
		"../../core/team/testdata/good.json",
	} {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			is.NoErr(validate(t, sch, readFile(t, path)))
		})
	}
}

// An operator's editor knows the schema alone. What it lets through and Parse
// refuses comes as a surprise later, so the list of those faults is kept here
// and is exact: each compares two places, or needs an address to be understood.
func TestSchema_Bad(t *testing.T) {
	beyond := []string{
		"addr-any", "addr-octet", "addr-twice",
		"fewer-connections-than-slots", "hedge-after-deadline", "hedge-never-repeat",
		"hedge-without-budget", "hedge-without-quantile",
		"register-absent", "retry-without-attempts", "retry-without-budget",
		"soft-after-hard", "team-other",
	}
	// Repeated names and text that is no JSON never reach a schema.
	unread := []string{"cut-short", "empty", "field-twice", "search-twice", "two-documents"}

	sch := compile(t)
	paths, err := filepath.Glob(badFiles)
	is.New(t).NoErr(err)
	var accepted []string
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		if slices.Contains(unread, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := readFile(t, path)
			_, err := team.Parse("wash", []byte(raw))
			is.True(err != nil) // Parse refuses every file
			if validate(t, sch, raw) == nil {
				accepted = append(accepted, name)
			}
		})
	}
	sort.Strings(accepted)
	is.New(t).Equal(accepted, beyond) // what the schema lets through
}

// Each field of the format has a row in the page for operators, and each row
// is a field.
func TestSchema_Page(t *testing.T) {
	is := is.New(t)
	var want []string
	walk("", compile(t), func(path string) { want = append(want, path) })
	sort.Strings(want)

	var got []string
	_, page, _ := strings.Cut(readFile(t, pageFile), "\n## Fields\n")
	page, _, _ = strings.Cut(page, "\n## ")
	row := regexp.MustCompile("(?m)^\\| `([a-zA-Z.*\\[\\]]+)` \\|")
	for _, match := range row.FindAllStringSubmatch(page, -1) {
		got = append(got, match[1])
	}
	sort.Strings(got)
	is.Equal(got, want)
}

// walk visits the path of every field, with * for names and [] for places in a
// list.
func walk(at string, sch *jsonschema.Schema, visit func(path string)) {
	for name, sub := range sch.Properties {
		path := strings.TrimPrefix(at+"."+name, ".")
		visit(path)
		walk(path, sub, visit)
	}
	if sub, ok := sch.AdditionalProperties.(*jsonschema.Schema); ok {
		walk(at+".*", sub, visit)
	}
	if sch.Items2020 != nil {
		walk(at+"[]", sch.Items2020, visit)
	}
}

func compile(t *testing.T) *jsonschema.Schema {
	t.Helper()
	is := is.New(t)
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(readFile(t, schemaFile)))
	is.NoErr(err)
	cmp := jsonschema.NewCompiler()
	is.NoErr(cmp.AddResource("team.json", doc))
	sch, err := cmp.Compile("team.json")
	is.NoErr(err)
	return sch
}

func validate(t *testing.T, sch *jsonschema.Schema, raw string) error {
	t.Helper()
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader([]byte(raw)))
	is.New(t).NoErr(err)
	return sch.Validate(doc)
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return string(raw)
}
