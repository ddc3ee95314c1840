package team

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxBytes bounds a document: the key-value service holds no larger value.
const MaxBytes = 1 << 20

// DefaultHitLimit is the HitLimit of a search that names none.
const DefaultHitLimit = 100

const opParse = "team.Parse"

// Parse reads the document of the named team and checks it whole. The error,
// where there is one, joins an *Error for each fault, so that an operator can
// mend them in one go; Faults lists them. Past the hundredth the rest is left
// out.
func Parse(name string, raw []byte) (Document, error) {
	if err := checkText(raw); err != nil {
		return Document{}, errors.Join(err)
	}
	rd := &reader{}
	doc := readObject(rd, bytes.TrimLeft(raw, " \t\r\n"), documentFields())
	fillDefaults(doc)
	rd.checkName(name, doc)
	rd.checkDocument(doc)
	if err := rd.err(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// checkText makes sure that raw is one JSON value, so that reading it level by
// level cannot fail half way.
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

// position turns the number of bytes read into a line and a column, from 1.
func position(raw []byte, offset int64) (line, col int) {
	head := raw[:min(max(offset-1, 0), int64(len(raw)))]
	line = 1 + bytes.Count(head, []byte("\n"))
	col = len(head) - bytes.LastIndexByte(head, '\n')
	return line, col
}

// fillDefaults replaces absent settings in place; the maps are still private.
func fillDefaults(doc Document) {
	for name, sch := range doc.Searches {
		if sch.HitLimit == 0 {
			sch.HitLimit = DefaultHitLimit
		}
		doc.Searches[name] = sch
	}
}
