package poison_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/poison"
)

func base() poison.Request {
	return poison.Request{
		Method: "POST", Host: "register.example", URI: "/search/7?page=2",
		Fields: []poison.Field{{Name: "User-Agent", Value: "desk/2"}, {Name: "Authorization", Value: "key-1"}},
		Body:   []byte("name=ada"),
	}
}

// A request that crashes servers comes again at any VM. Taken for another one it would
// crash them again; another request taken for it would be refused without reason.
func TestSameRequest(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(rq *poison.Request)
		same   bool
	}{
		{"nothing", func(*poison.Request) {}, true},
		{"order of headers", func(rq *poison.Request) { rq.Fields[0], rq.Fields[1] = rq.Fields[1], rq.Fields[0] }, true},
		{"case of a header's name", func(rq *poison.Request) { rq.Fields[0].Name = "user-agent" }, true},
		{"case of the host", func(rq *poison.Request) { rq.Host = "REGISTER.example" }, true},
		{"a trace", func(rq *poison.Request) {
			rq.Fields = append(rq.Fields, poison.Field{Name: "Traceparent", Value: "00-1-2-01"}, poison.Field{Name: "X-B3-SpanId", Value: "9"})
		}, true},
		{"a byte of the body", func(rq *poison.Request) { rq.Body[3] = '-' }, false},
		{"the caller", func(rq *poison.Request) { rq.Fields[1].Value = "key-2" }, false},
		{"the caller's program", func(rq *poison.Request) { rq.Fields[0].Value = "desk/3" }, false},
		{"the path", func(rq *poison.Request) { rq.URI = "/search/8?page=2" }, false},
		{"the query", func(rq *poison.Request) { rq.URI = "/search/7?page=3" }, false},
		{"the method", func(rq *poison.Request) { rq.Method = "PUT" }, false},
		{"the host", func(rq *poison.Request) { rq.Host = "other.example" }, false},
		{"where the path ends", func(rq *poison.Request) { rq.URI, rq.Host = "/"+rq.URI, rq.Host[:15] }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rq := base()
			tc.change(&rq)
			is.Equal(poison.Of(rq) == poison.Of(base()), tc.same)
		})
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	fp := poison.Of(base())
	got, err := poison.Parse(fp.String())
	is.NoErr(err)
	is.Equal(got, fp)
	for _, text := range []string{"", "zz", "00", fp.String() + "00"} {
		_, err := poison.Parse(text)
		is.True(err != nil)
	}
}
