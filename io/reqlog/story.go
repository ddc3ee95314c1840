package reqlog

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
	// maxLineBytes limits the length of a line; a VM's longest lines list some servers of a
	// request.
	maxLineBytes = 64 << 10
	// DefaultLines is the default limit on the lines kept: a request over some hundred shards
	// writes a few dozen.
	DefaultMaxLines = 1000
)

// Kind classifies an Error.
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

// Error returns the operation, the kind, the log's name and the cause on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Name, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Line is one line of a VM's log.
type Line struct {
	Time time.Time `json:"time"`
	// VM is the VM that wrote the line: the last word that a log collector put before the line,
	// or else the log's name.
	VM      string `json:"vm"`
	Message string `json:"message"`
	// Fields are all other fields except the request's id and the level.
	Fields map[string]json.RawMessage `json:"fields"`
}

// Config configures a Story.
type Config struct {
	// ID is the id of the request.
	ID string
	// Lines limits the lines kept; 0 means DefaultLines.
	MaxLines int
}

// Story collects the lines of one request. It is not safe for concurrent use.
type Collector struct {
	cfg   Config
	lines []Line
	// Bad counts the lines that could not be parsed, LeftOut those beyond the limit.
	BadLines, LeftOut int
}

// New returns a story without lines.
func New(cfg Config) *Collector {
	if cfg.MaxLines <= 0 {
		cfg.MaxLines = DefaultMaxLines
	}
	return &Collector{cfg: cfg}
}

// Read reads one log. Its name stands for the VM if a line does not name one.
func (st *Collector) Read(name string, rd io.Reader) error {
	br := bufio.NewReaderSize(rd, maxLineBytes)
	for {
		line, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			st.BadLines++
			err = skipLine(br)
			line = nil
		}
		st.addLine(name, bytes.TrimSpace(line))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &Error{Op: "story.Read", Kind: KindRead, Name: name, Err: err}
		}
	}
}

// skipLine skips the rest of a line that is too long.
func skipLine(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// addLine keeps a line if it is about the request.
func (st *Collector) addLine(name string, line []byte) {
	if len(line) == 0 {
		return
	}
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		st.BadLines++
		return
	}
	// Most lines are about other requests; parsing all of them would take ten times as long.
	if !bytes.Contains(line, []byte(st.cfg.ID)) {
		return
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line[at:], &fields) != nil {
		st.BadLines++
		return
	}
	if textField(fields, "id") != st.cfg.ID {
		return
	}
	when, err := time.Parse(time.RFC3339Nano, textField(fields, "time"))
	if err != nil {
		st.BadLines++
		return
	}
	if len(st.lines) >= st.cfg.MaxLines {
		st.LeftOut++
		return
	}
	ln := Line{Time: when, VM: vmName(name, string(line[:at])), Message: textField(fields, "message"), Fields: fields}
	for _, known := range [4]string{"id", "time", "message", "level"} {
		delete(fields, known)
	}
	st.lines = append(st.lines, ln)
}

// vmName returns the last word before a line's JSON, or the log's name if there is none.
func vmName(name, before string) string {
	if words := strings.Fields(before); len(words) > 0 {
		return words[len(words)-1]
	}
	return name
}

func textField(fields map[string]json.RawMessage, name string) string {
	var value string
	// A field that is not a string is returned as "".
	_ = json.Unmarshal(fields[name], &value)
	return value
}

// Lines returns the request's lines sorted by time. The VMs' clocks differ by some milliseconds,
// so the order may differ from the true one by as much.
func (st *Collector) Lines() []Line {
	sort.SliceStable(st.lines, func(i, j int) bool { return st.lines[i].Time.Before(st.lines[j].Time) })
	return st.lines
}
