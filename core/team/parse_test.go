package team_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/team"
	"laburnumvane/internal/golden"
)

func TestParse_Good(t *testing.T) {
	is := is.New(t)
	doc, err := team.Parse("wash", readFile(t, "testdata/good.json"))
	is.NoErr(err)

	sch := doc.Searches["kiosk"]
	is.Equal(sch.Class, team.ClassUrgent)
	is.Equal(sch.SoftDeadline().Milliseconds(), int64(60))
	is.Equal(sch.HitLimit, team.DefaultHitLimit) // not in the file
	is.Equal(sch.WithDeadlines(0, 150).SoftDeadline(), sch.HardDeadline())
	is.Equal(doc.Registers["members"].Services["desk"].Servers[1].DataCentre, "south")
}

func TestParse_Examples(t *testing.T) {
	for _, tc := range []struct {
		team     string
		services int
		servers  int
	}{
		{team: "pettigrew", services: 10 + 15 + 1 + 1, servers: 10*3 + 15*3 + 10 + 5},
		{team: "kalimba", services: 10 + 15 + 1 + 1, servers: 10*3 + 15*3 + 4 + 4},
	} {
		t.Run(tc.team, func(t *testing.T) {
			is := is.New(t)
			doc, err := team.Parse(tc.team, readFile(t, "../../docs/examples/"+tc.team+".json"))
			is.NoErr(err)
			svcs, srvs := countServers(doc)
			is.Equal(svcs, tc.services)
			is.Equal(srvs, tc.servers)
		})
	}
}

func countServers(doc team.Document) (services, servers int) {
	for _, reg := range doc.Registers {
		services += len(reg.Services)
		for _, svc := range reg.Services {
			servers += len(svc.Servers)
		}
	}
	return services, servers
}

// An operator submits a document with faults. All of them are reported at once, with the path
// of the field and what is valid, and no document is returned: a default in place of a faulty
// limit would go unnoticed until the limit is needed.
func TestParse_Faults(t *testing.T) {
	is := is.New(t)
	var got bytes.Buffer
	for _, path := range badFiles(t) {
		doc, err := team.Parse("wash", readFile(t, path))
		is.True(err != nil) // every file in bad/ has a fault
		is.Equal(doc, team.Document{})
		fmt.Fprintf(&got, "%s\n", strings.TrimSuffix(filepath.Base(path), ".json"))
		for _, flt := range team.Faults(err) {
			fmt.Fprintf(&got, "  %-12s %s: %s\n", flt.Kind, flt.Path, flt.Msg)
		}
	}
	golden.Check(t, "bad", got.String())
}

// A document of a megabyte can consist of faults only. The error must stay short enough to be
// read and sent, and must say how many faults it omits.
func TestParse_FaultCountIsBounded(t *testing.T) {
	is := is.New(t)
	raw := `{"version":1,"team":"wash","searches":{},"registers":{}` + strings.Repeat(`,"x":1`, 5000) + `}`
	_, err := team.Parse("wash", []byte(raw))
	flts := team.Faults(err)
	is.Equal(len(flts), 101)
	is.Equal(flts[100].Msg, "4900 further faults are left out")
}

func TestParse_Size(t *testing.T) {
	good := readFile(t, "testdata/good.json")
	for _, tc := range []struct {
		name string
		size int
		kind team.Kind
	}{
		{name: "at the limit", size: team.MaxBytes},
		{name: "one byte over", size: team.MaxBytes + 1, kind: team.KindTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			raw := append(bytes.Clone(good), bytes.Repeat([]byte(" "), tc.size-len(good))...)
			_, err := team.Parse("wash", raw)
			is.Equal(kindOf(err), tc.kind)
		})
	}
}

func TestParse_MalformedText(t *testing.T) {
	for _, tc := range []struct {
		name string
		raw  string
		kind team.Kind
	}{
		{name: "not UTF-8", raw: "{\"team\":\"\xff\"}", kind: team.KindSyntax},
		{name: "nested 20,000 levels deep", raw: strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), kind: team.KindSyntax},
		{name: "byte order mark", raw: "\ufeff{}", kind: team.KindSyntax},
		{name: "null", raw: "null", kind: team.KindType},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := team.Parse("wash", []byte(tc.raw))
			is.Equal(kindOf(err), tc.kind)
		})
	}
}

func TestError(t *testing.T) {
	is := is.New(t)
	_, err := team.Parse("wash", readFile(t, "testdata/bad/soft-after-hard.json"))
	var one *team.Error
	is.True(errors.As(err, &one))
	is.Equal(one.Path, "searches.kiosk.softDeadlineMs")
	is.Equal(err.Error(), "team.Parse: invalid: searches.kiosk.softDeadlineMs: is 200, later than hardDeadlineMs, which is 150")
	is.Equal(len(team.Faults(errors.Wrap(err, "set"))), 1)
	is.Equal(len(team.Faults(nil)), 0)
}

func kindOf(err error) team.Kind {
	flts := team.Faults(err)
	if len(flts) == 0 {
		return ""
	}
	return flts[0].Kind
}

func badFiles(t testing.TB) []string {
	t.Helper()
	paths, err := filepath.Glob("testdata/bad/*.json")
	is.New(t).NoErr(err)
	return paths
}

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return raw
}
