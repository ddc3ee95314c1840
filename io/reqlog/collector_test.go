package reqlog_test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/io/reqlog"
)

const id = "4f7c8f65fcdc5ff2"

// line returns a line of a VM's log with the given second.
func line(second, message, more string) string {
	return `{"time":"2026-01-31T11:33:` + second + `Z","level":"info","id":"` + id + `"` + more + `,"message":"` + message + `"}` + "\n"
}

// A caller got its answer late. The request went from a small VM to a large one, which had
// remote servers asked through a third VM. The three logs also have lines about other requests,
// truncated lines and lines that a collector merged.
func TestStoryOfOneRequest(t *testing.T) {
	is := is.New(t)
	logs := []struct{ name, text string }{
		{"small.log", line("05.5", "forwarded", `,"home":"10.0.0.2:7000"`) +
			strings.Replace(line("05.1", "answered", ""), id, "ffff", 1)},
		{"large.log", "no JSON at all\n" + line("05.4", "answered", `,"ms":61.2,"note":"`+id+`"`) + line("05.4", "cut", "")[:85] + "\n"},
		{"all.log", "05.2 frontend-c-1 " + line("05.2", "joined for another VM", `,"servers":9`) +
			`{"message":"names ` + id + ` and is another's"}` + "\n" +
			strings.Repeat("x", 200<<10) + "\n" + line("05.3", "joined for another VM", "")},
	}
	co := reqlog.New(reqlog.Config{ID: id})
	for _, lg := range logs {
		is.NoErr(co.Read(lg.name, strings.NewReader(lg.text)))
	}
	var got []string
	for _, ln := range co.Lines() {
		got = append(got, ln.VM+": "+ln.Message)
	}
	is.Equal(got, []string{
		"frontend-c-1: joined for another VM",
		"all.log: joined for another VM",
		"large.log: answered",
		"small.log: forwarded",
	})
	is.Equal(string(co.Lines()[2].Fields["ms"]), "61.2")
	is.Equal(co.BadLines, 3)
	is.Equal(co.LeftOut, 0)
}

// A client uses one id for hours: the number of lines kept is limited.
func TestBounded(t *testing.T) {
	is := is.New(t)
	co := reqlog.New(reqlog.Config{ID: id, MaxLines: 10})
	is.NoErr(co.Read("a", strings.NewReader(strings.Repeat(line("05.1", "answered", ""), 25))))
	is.Equal(len(co.Lines()), 10)
	is.Equal(co.LeftOut, 15)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("input/output error") }

func TestUnreadable(t *testing.T) {
	is := is.New(t)
	var se *reqlog.Error
	is.True(errors.As(reqlog.New(reqlog.Config{ID: id}).Read("a", failingReader{}), &se))
	is.Equal(se.Kind, reqlog.KindRead)
}

func FuzzRead(f *testing.F) {
	f.Add(line("05.1", "answered", ""))
	f.Add("x {" + id)
	f.Fuzz(func(t *testing.T, text string) {
		co := reqlog.New(reqlog.Config{ID: id, MaxLines: 3})
		if err := co.Read("a", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		for _, ln := range co.Lines() {
			if ln.Time.IsZero() && ln.VM == "" {
				t.Fatalf("a line without a VM: %+v", ln)
			}
		}
	})
}
