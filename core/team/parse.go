package team

import (
	"bytes"
	"encoding/json"
)

// Parse reads the document of the named team and checks it whole. The error,
// where there is one, is an *Error.
func Parse(name string, raw []byte) (Document, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var doc Document
	if err := dec.Decode(&doc); err != nil {
		return Document{}, &Error{Op: "team.Parse", Kind: KindSyntax, Msg: err.Error()}
	}
	if doc.Team != name {
		return Document{}, &Error{Op: "team.Parse", Kind: KindInvalid, Path: "team", Msg: "does not match the subtree " + name}
	}
	return doc, nil
}
