package team

import (
	"bytes"
	"encoding/json"
)

// The functions of this file take apart JSON that checkText has found valid, in
// place. A json.Decoder for each level would copy a document once for every
// level it has, and scan it as often; at a megabyte that is a pause which the
// searches of a small VM feel.

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

// typeOf needs a value without white space before it.
func typeOf(raw json.RawMessage) jsonType {
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

// eachMember visits an object's members in the order they are written, repeated
// names included: encoding/json alone would keep the last one in silence.
func eachMember(raw json.RawMessage, visit func(name string, val json.RawMessage)) {
	for pos := skipSpace(raw, 1); raw[pos] != '}'; {
		end := skipString(raw, pos)
		name := textOf(raw[pos:end])
		pos = skipSpace(raw, skipSpace(raw, end)+1)
		end = skipValue(raw, pos)
		visit(name, raw[pos:end])
		pos = skipComma(raw, end)
	}
}

// eachElement visits an array's values.
func eachElement(raw json.RawMessage, visit func(val json.RawMessage)) {
	for pos := skipSpace(raw, 1); raw[pos] != ']'; {
		end := skipValue(raw, pos)
		visit(raw[pos:end])
		pos = skipComma(raw, end)
	}
}

// textOf is the text of a string value.
func textOf(raw json.RawMessage) string {
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1])
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		panic("team: string of checked JSON: " + err.Error())
	}
	return text
}

func skipSpace(raw []byte, pos int) int {
	for raw[pos] == ' ' || raw[pos] == '\t' || raw[pos] == '\r' || raw[pos] == '\n' {
		pos++
	}
	return pos
}

// skipComma goes to the next member or element, or to the closing bracket.
func skipComma(raw []byte, pos int) int {
	pos = skipSpace(raw, pos)
	if raw[pos] == ',' {
		pos = skipSpace(raw, pos+1)
	}
	return pos
}

// skipString gives the place after a string that begins at pos.
func skipString(raw []byte, pos int) int {
	for pos++; raw[pos] != '"'; pos++ {
		if raw[pos] == '\\' {
			pos++
		}
	}
	return pos + 1
}

// skipValue gives the place after a value that begins at pos.
func skipValue(raw []byte, pos int) int {
	switch raw[pos] {
	case '"':
		return skipString(raw, pos)
	case '{', '[':
		return skipNested(raw, pos)
	}
	for pos < len(raw) && bytes.IndexByte([]byte(",]} \t\r\n"), raw[pos]) < 0 {
		pos++
	}
	return pos
}

// skipNested counts brackets of both kinds together: in valid JSON they match.
func skipNested(raw []byte, pos int) int {
	for depth := 0; ; pos++ {
		switch raw[pos] {
		case '"':
			pos = skipString(raw, pos) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth == 0 {
			return pos + 1
		}
	}
}
