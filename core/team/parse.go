package team

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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
	doc := readObject(rd, "", raw, documentFields())
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
	var whole json.RawMessage
	err := json.Unmarshal(raw, &whole)
	var se *json.SyntaxError
	if errors.As(err, &se) {
		line, col := position(raw, se.Offset)
		return &Error{Op: opParse, Kind: KindSyntax, Msg: fmt.Sprintf("line %d, column %d: %v", line, col, se)}
	}
	if err != nil {
		return &Error{Op: opParse, Kind: KindSyntax, Msg: err.Error()}
	}
	return nil
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

// jsonType is the type of a JSON value.
type jsonType string

// Types as a reader of JSON knows them.
const (
	typeObject jsonType = "an object"
	typeArray  jsonType = "an array"
	typeString jsonType = "a string"
	typeNumber jsonType = "a number"
	typeBool   jsonType = "true or false"
	typeNull   jsonType = "null"
)

// typeOf needs valid JSON.
func typeOf(raw json.RawMessage) jsonType {
	raw = bytes.TrimLeft(raw, " \t\r\n")
	switch raw[0] {
	case '{':
		return typeObject
	case '[':
		return typeArray
	case '"':
		return typeString
	case 't', 'f':
		return typeBool
	case 'n':
		return typeNull
	}
	return typeNumber
}

// member is one name and value of an object.
type member struct {
	name string
	raw  json.RawMessage
}

// members lists an object's members in the order they are written, repeated
// names included: encoding/json alone would keep the last one in silence.
func members(raw json.RawMessage) []member {
	dec := json.NewDecoder(bytes.NewReader(raw))
	mustToken(dec)
	var mems []member
	for dec.More() {
		name, _ := mustToken(dec).(string)
		mems = append(mems, member{name: name, raw: mustValue(dec)})
	}
	return mems
}

// elements lists an array's values.
func elements(raw json.RawMessage) []json.RawMessage {
	dec := json.NewDecoder(bytes.NewReader(raw))
	mustToken(dec)
	var els []json.RawMessage
	for dec.More() {
		els = append(els, mustValue(dec))
	}
	return els
}

// mustToken reads from text that checkText has found valid.
func mustToken(dec *json.Decoder) json.Token {
	tok, err := dec.Token()
	if err != nil && !errors.Is(err, io.EOF) {
		panic("team: token of checked JSON: " + err.Error())
	}
	return tok
}

func mustValue(dec *json.Decoder) json.RawMessage {
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		panic("team: value of checked JSON: " + err.Error())
	}
	return raw
}
