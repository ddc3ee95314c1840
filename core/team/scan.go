package team

import (
	"bytes"
	"encoding/json"
)

// The functions of this file scan JSON that checkText has found valid, in place. A
// json.Decoder per level would copy and scan the document once for every level; for a
// megabyte this takes long enough to delay the searches of a small VM.

// jsonType is the type of a JSON value.
type jsonType string

// JSON types as named in messages.
const (
	typeObject jsonType = "an object"
	typeArray  jsonType = "an array"
	typeString jsonType = "a string"
	typeNumber jsonType = "a number"
	typeBool   jsonType = "true or false"
	typeNull   jsonType = "null"
)

// typeOf returns the type of a value, which must not begin with white space.
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

// eachMember calls visit for an object's members in the order in which they are written,
// including duplicate names: encoding/json alone would silently keep the last one.
func eachMember(raw json.RawMessage, visit func(name string, val json.RawMessage)) {
	for pos := skipSpace(raw, 1); raw[pos] != '}'; {
		end := skipString(raw, pos)
		name := stringValue(raw[pos:end])
		pos = skipSpace(raw, skipSpace(raw, end)+1)
		end = skipValue(raw, pos)
		visit(name, raw[pos:end])
		pos = skipComma(raw, end)
	}
}

// eachElement calls visit for an array's values.
func eachElement(raw json.RawMessage, visit func(val json.RawMessage)) {
	for pos := skipSpace(raw, 1); raw[pos] != ']'; {
		end := skipValue(raw, pos)
		visit(raw[pos:end])
		pos = skipComma(raw, end)
	}
}

// stringValue returns the decoded text of a JSON string.
func stringValue(raw json.RawMessage) string {
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

// skipComma returns the position of the next member or element, or of the closing bracket.
func skipComma(raw []byte, pos int) int {
	pos = skipSpace(raw, pos)
	if raw[pos] == ',' {
		pos = skipSpace(raw, pos+1)
	}
	return pos
}

// skipString returns the position after the string that begins at pos.
func skipString(raw []byte, pos int) int {
	for pos++; raw[pos] != '"'; pos++ {
		if raw[pos] == '\\' {
			pos++
		}
	}
	return pos + 1
}

// skipValue returns the position after the value that begins at pos.
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

// skipNested returns the position after the object or array that begins at pos. It counts
// brackets of both kinds together: in valid JSON they match.
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
