package front

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// FuzzDecode decodes arbitrary bodies and ids. The result must be a search whose fields are within
// their limits, or a refusal with a reason.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"team":"wash","search":"kiosk","query":{"plate":"KX53"}}`,
		`{"id":"r1","team":"wash","search":"kiosk","register":"members","query":{},"deadlineMs":250,"minCoverage":0.9,"repeat":"never","ticket":"t"}`,
		`{"team":"wash","search":"kiosk","query":{},"deadlineMs":0}`,
		`{"team":"wash","search":"kiosk","query":{},"deadlineMs":9223372036854775807}`,
		`{"team":"wash","search":"kiosk","query":{},"minCoverage":1e309}`,
		`{"team":7}`, `[]`, `null`, ``, `{`, `{"id":"\r\n"}`, "{\"team\":\"\xff\"}",
	} {
		f.Add([]byte(seed), "r1")
	}
	f.Add([]byte(`{}`), "a\r\nb")
	fr := &Front{cfg: Config{MaxDeadline: time.Minute, NewID: func() string { return "own" }}}
	f.Fuzz(func(t *testing.T, body []byte, id string) {
		is := is.New(t)
		rc := app.NewContext(0)
		rc.Request.SetBody(body)
		rc.Request.Header.Set(wire.HeaderRequestID, id)
		rq, rf := fr.decode(rc)
		is.True(len(rq.ID) <= maxIDLen)
		if rf != nil {
			is.True(rf.status >= 400 && rf.Reason != "" && rf.Error != "")
			return
		}
		is.True(rq.ID != "" && rq.Team != "" && rq.Search != "")
		is.True(rq.DeadlineMs >= 0 && rq.DeadlineMs <= 60_000)
		is.True(rq.MinCoverage == nil || *rq.MinCoverage >= 0 && *rq.MinCoverage <= 1)
		is.True(json.Valid(rq.Query))
		_, err := json.Marshal(rq)
		is.NoErr(err) // it can be forwarded to the VM that issued its ticket
	})
}
