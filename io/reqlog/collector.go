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
	// DefaultMaxLines is the default limit on the lines kept: a request over some hundred shards
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

// Config configures a Collector.
type Config struct {
	// ID is the id of the request.
	ID string
	// MaxLines limits the lines kept; 0 means DefaultMaxLines.
	MaxLines int
}

// Collector collects the lines of one request. It is not safe for concurrent use.
type Collector struct {
	cfg   Config
	lines []Line
	// BadLines counts the lines that could not be parsed, LeftOut those beyond the limit.
	BadLines, LeftOut int
}

// New returns a collector without lines.
func New(cfg Config) *Collector {
	if cfg.MaxLines <= 0 {
		cfg.MaxLines = DefaultMaxLines
	}
	return &Collector{cfg: cfg}
}

// Read reads one log. Its name stands for the VM if a line does not name one.
func (co *Collector) Read(name string, rd io.Reader) error {
	br := bufio.NewReaderSize(rd, maxLineBytes)
	for {
		line, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			co.BadLines++
			err = skipLine(br)
			line = nil
		}
		co.addLine(name, bytes.TrimSpace(line))
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
func (co *Collector) addLine(name string, line []byte) {
	if len(line) == 0 {
		return
	}
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		co.BadLines++
		return
	}
	// Most lines are about other requests; parsing all of them would take ten times as long.
	if !bytes.Contains(line, []byte(co.cfg.ID)) {
		return
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line[at:], &fields) != nil {
		co.BadLines++
		return
	}
	if textField(fields, "id") != co.cfg.ID {
		return
	}
	when, err := time.Parse(time.RFC3339Nano, textField(fields, "time"))
	if err != nil {
		co.BadLines++
		return
	}
	if len(co.lines) >= co.cfg.MaxLines {
		co.LeftOut++
		return
	}
	ln := Line{Time: when, VM: vmName(name, string(line[:at])), Message: textField(fields, "message"), Fields: fields}
	for _, known := range [4]string{"id", "time", "message", "level"} {
		delete(fields, known)
	}
	co.lines = append(co.lines, ln)
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
func (co *Collector) Lines() []Line {
	sort.SliceStable(co.lines, func(i, j int) bool { return co.lines[i].Time.Before(co.lines[j].Time) })
	return co.lines
}
