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

// An operator's editor checks a document only against the schema, and misses the faults that Parse
// rejects but the schema accepts. The list of these faults must be exact. Each of them needs a
// comparison of two fields or the parsing of an address.
func TestSchema_Bad(t *testing.T) {
	notInSchema := []string{
		"addr-any", "addr-octet", "addr-twice",
		"fewer-connections-than-slots", "hedge-after-deadline", "hedge-never-repeat",
		"hedge-without-budget", "hedge-without-quantile",
		"register-absent", "retry-without-attempts", "retry-without-budget",
		"soft-after-hard", "team-other",
	}
	// Duplicate names and invalid JSON are not seen by a schema check.
	notJSON := []string{"cut-short", "empty", "field-twice", "search-twice", "two-documents"}

	sch := compile(t)
	paths, err := filepath.Glob(badFiles)
	is.New(t).NoErr(err)
	var accepted []string
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		if slices.Contains(notJSON, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := readFile(t, path)
			_, err := team.Parse("wash", []byte(raw))
			is.True(err != nil) // Parse rejects every file
			if validate(t, sch, raw) == nil {
				accepted = append(accepted, name)
			}
		})
	}
	sort.Strings(accepted)
	is.New(t).Equal(accepted, notInSchema) // the faults that the schema accepts
}

// Each field of the format must have a row on the page for operators, and each row must be a field.
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

// walk visits the path of every field, with * for arbitrary names and [] for list elements.
func walk(parent string, sch *jsonschema.Schema, visit func(path string)) {
	for name, sub := range sch.Properties {
		path := strings.TrimPrefix(parent+"."+name, ".")
		visit(path)
		walk(path, sub, visit)
	}
	if sub, ok := sch.AdditionalProperties.(*jsonschema.Schema); ok {
		walk(parent+".*", sub, visit)
	}
	if sch.Items2020 != nil {
		walk(parent+"[]", sch.Items2020, visit)
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
