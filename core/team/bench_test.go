package team_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
)

// Every VM parses every change of its teams' documents. The baseline is the standard library,
// which decodes the same document without validation (plain).
func BenchmarkParse(b *testing.B) {
	pettigrew := readFile(b, "../../docs/examples/pettigrew.json")
	for _, bc := range []struct {
		name string
		team string
		raw  []byte
	}{
		{name: "pettigrew", team: "pettigrew", raw: pettigrew},
		{name: "megabyte", team: "pettigrew", raw: megabyteDocument(b, pettigrew)},
	} {
		b.Run(bc.name+"/strict", func(b *testing.B) {
			b.SetBytes(int64(len(bc.raw)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := team.Parse(bc.team, bc.raw); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(bc.name+"/plain", func(b *testing.B) {
			b.SetBytes(int64(len(bc.raw)))
			b.ReportAllocs()
			for b.Loop() {
				var doc team.Document
				if err := json.Unmarshal(bc.raw, &doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// megabyteDocument returns a document with as many servers as fit into MaxBytes.
func megabyteDocument(b *testing.B, raw []byte) []byte {
	b.Helper()
	is := is.New(b)
	doc, err := team.Parse("pettigrew", raw)
	is.NoErr(err)
	const perServer = len(`{"addr":"10.100.100.100:9000","dataCentre":"harbour"},`)
	svc := doc.Registers["promotions"].Services["promo"]
	for i := range (team.MaxBytes - len(doc.Canonical())) / perServer {
		addr := fmt.Sprintf("10.%d.%d.%d:9000", 100+i>>16, i>>8&0xff, i&0xff)
		svc.Servers = append(svc.Servers, team.Server{Addr: addr, DataCentre: "harbour"})
	}
	doc = doc.WithRegister("promotions", doc.Registers["promotions"].WithService("promo", svc))
	out := doc.Canonical()
	is.True(len(out) > team.MaxBytes*9/10)
	return out
}
