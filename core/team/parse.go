package team

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxBytes is the maximum size of a document: the key-value service stores no larger value.
const MaxBytes = 1 << 20

// DefaultHitLimit is the HitLimit of a search that does not set one.
const DefaultHitLimit = 100

const opParse = "team.Parse"

// Parse decodes and validates the document of the named team. The error joins an *Error for
// each fault, so that an operator can correct all of them at once; Faults lists them. Beyond
// 100 faults only their number is reported.
func Parse(name string, raw []byte) (Document, error) {
	if err := checkText(raw); err != nil {
		return Document{}, errors.Join(err)
	}
	rd := &reader{}
	doc := readObject(rd, bytes.TrimLeft(raw, " \t\r\n"), documentFields())
	fillDefaults(doc)
	rd.checkTeamName(name, doc)
	rd.checkDocument(doc)
	if err := rd.err(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// checkText verifies that raw is one valid JSON value, so that the later decoding by level
// cannot fail halfway.
func checkText(raw []byte) error {
	if len(raw) > MaxBytes {
		return &Error{Op: opParse, Kind: KindTooLarge, Msg: fmt.Sprintf("is %d bytes long, may have %d", len(raw), MaxBytes)}
	}
	if !utf8.Valid(raw) {
		return &Error{Op: opParse, Kind: KindSyntax, Msg: "is not UTF-8 text"}
	}
	if json.Valid(raw) {
		return nil
	}
	var whole json.RawMessage
	err := json.Unmarshal(raw, &whole)
	var se *json.SyntaxError
	if errors.As(err, &se) {
		line, col := position(raw, se.Offset)
		return &Error{Op: opParse, Kind: KindSyntax, Msg: fmt.Sprintf("line %d, column %d: %v", line, col, se)}
	}
	return &Error{Op: opParse, Kind: KindSyntax, Msg: fmt.Sprint(err)}
}

// position converts an offset to a line and a column, both counted from 1.
func position(raw []byte, offset int64) (line, col int) {
	head := raw[:min(max(offset-1, 0), int64(len(raw)))]
	line = 1 + bytes.Count(head, []byte("\n"))
	col = len(head) - bytes.LastIndexByte(head, '\n')
	return line, col
}

// fillDefaults sets absent fields in place. This is safe because no other code holds the maps
// yet.
func fillDefaults(doc Document) {
	for name, sch := range doc.Searches {
		if sch.HitLimit == 0 {
			sch.HitLimit = DefaultHitLimit
		}
		doc.Searches[name] = sch
	}
}
