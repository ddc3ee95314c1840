package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// mostLine bounds a line: the longest of a VM names some servers of a request.
	mostLine = 64 << 10
	// DefaultLines bounds the lines that are kept: a request over some hundred shards
	// writes a few dozen.
	DefaultLines = 1000
)

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindRead: a log could not be read to its end.
	KindRead Kind = "read"
)

// Error is a log that could not be read.
type Error struct {
	Op   string
	Kind Kind
	Name string
	Err  error
}

// Error gives operation, kind and log on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Name, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Line is one line of a VM's log.
type Line struct {
	Time time.Time `json:"time"`
	// VM is who wrote it: what a collector put before the line, or the log's name.
	VM      string `json:"vm"`
	Message string `json:"message"`
	// Fields are all others but the request's id.
	Fields map[string]json.RawMessage `json:"fields"`
}

// Config sets a story.
type Config struct {
	// ID is the request's.
	ID string
	// Lines bounds the lines kept; 0 takes the default.
	Lines int
}

// Story gathers the lines of one request. It is not safe for concurrent use.
type Story struct {
	cfg   Config
	lines []Line
	// Bad counts the lines that could not be read, LeftOut those beyond the bound.
	Bad, LeftOut int
}

// New makes an empty story.
func New(cfg Config) *Story {
	if cfg.Lines <= 0 {
		cfg.Lines = DefaultLines
	}
	return &Story{cfg: cfg}
}

// Read takes the lines of one log. The name stands for the VM where the lines do not
// tell.
func (st *Story) Read(name string, rd io.Reader) error {
	br := bufio.NewReaderSize(rd, mostLine)
	for {
		line, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			st.Bad++
			err = skipLine(br)
			line = nil
		}
		st.take(name, bytes.TrimSpace(line))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &Error{Op: "story.Read", Kind: KindRead, Name: name, Err: err}
		}
	}
}

// skipLine reads to the end of a line that is too long.
func skipLine(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// take keeps a line if it is the request's.
func (st *Story) take(name string, line []byte) {
	if len(line) == 0 {
		return
	}
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		st.Bad++
		return
	}
	// Most lines are others'; parsing all of them would take ten times as long.
	if !bytes.Contains(line, []byte(st.cfg.ID)) {
		return
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line[at:], &fields) != nil {
		st.Bad++
		return
	}
	if text(fields, "id") != st.cfg.ID {
		return
	}
	when, err := time.Parse(time.RFC3339Nano, text(fields, "time"))
	if err != nil {
		st.Bad++
		return
	}
	if len(st.lines) >= st.cfg.Lines {
		st.LeftOut++
		return
	}
	ln := Line{Time: when, VM: writer(name, string(line[:at])), Message: text(fields, "message"), Fields: fields}
	for _, known := range [4]string{"id", "time", "message", "level"} {
		delete(fields, known)
	}
	st.lines = append(st.lines, ln)
}

// writer is the last word before a line's JSON, or the log's name.
func writer(name, before string) string {
	if words := strings.Fields(before); len(words) > 0 {
		return words[len(words)-1]
	}
	return name
}

func text(fields map[string]json.RawMessage, name string) string {
	var value string
	// A field of another type is no text.
	_ = json.Unmarshal(fields[name], &value)
	return value
}

// Lines are those of the request in the order of their times. Clocks of VMs differ by
// some milliseconds, and so may the order.
func (st *Story) Lines() []Line {
	sort.SliceStable(st.lines, func(i, j int) bool { return st.lines[i].Time.Before(st.lines[j].Time) })
	return st.lines
}
