package poison_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/poison"
)

func baseRequest() poison.Request {
	return poison.Request{
		Method: "POST", Host: "register.example", URI: "/search/7?page=2",
		Fields: []poison.Field{{Name: "User-Agent", Value: "desk/2"}, {Name: "Authorization", Value: "key-1"}},
		Body:   []byte("name=ada"),
	}
}

// A crashing request is repeated at any VM. With another fingerprint it would crash servers
// again; another request with the same fingerprint would be refused without reason.
func TestFingerprint(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(rq *poison.Request)
		same   bool
	}{
		{"unchanged", func(*poison.Request) {}, true},
		{"order of headers", func(rq *poison.Request) { rq.Fields[0], rq.Fields[1] = rq.Fields[1], rq.Fields[0] }, true},
		{"case of a header name", func(rq *poison.Request) { rq.Fields[0].Name = "user-agent" }, true},
		{"case of the host", func(rq *poison.Request) { rq.Host = "REGISTER.example" }, true},
		{"tracing headers", func(rq *poison.Request) {
			rq.Fields = append(rq.Fields, poison.Field{Name: "Traceparent", Value: "00-1-2-01"}, poison.Field{Name: "X-B3-SpanId", Value: "9"})
		}, true},
		{"body", func(rq *poison.Request) { rq.Body[3] = '-' }, false},
		{"credentials", func(rq *poison.Request) { rq.Fields[1].Value = "key-2" }, false},
		{"user agent", func(rq *poison.Request) { rq.Fields[0].Value = "desk/3" }, false},
		{"path", func(rq *poison.Request) { rq.URI = "/search/8?page=2" }, false},
		{"query", func(rq *poison.Request) { rq.URI = "/search/7?page=3" }, false},
		{"method", func(rq *poison.Request) { rq.Method = "PUT" }, false},
		{"host", func(rq *poison.Request) { rq.Host = "other.example" }, false},
		{"boundary between host and path", func(rq *poison.Request) { rq.URI, rq.Host = "/"+rq.URI, rq.Host[:15] }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rq := baseRequest()
			tc.change(&rq)
			is.Equal(poison.FingerprintOf(rq) == poison.FingerprintOf(baseRequest()), tc.same)
		})
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	fp := poison.FingerprintOf(baseRequest())
	got, err := poison.Parse(fp.String())
	is.NoErr(err)
	is.Equal(got, fp)
	for _, text := range []string{"", "zz", "00", fp.String() + "00"} {
		_, err := poison.Parse(text)
		is.True(err != nil)
	}
}
