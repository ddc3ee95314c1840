package guard

import (
	"encoding/json"
	"mime"
	"strings"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-faster/errors"

	"laburnumvane/io/wire"
)

const (
	typeJSON = "application/json"
	// typeForm is the default content type of curl -d.
	typeForm = "application/x-www-form-urlencoded"
)

// Body returns a request's body, or an error if its headers or encoding rule out JSON. The bytes
// belong to the library and must not be used after the handler returns.
func Body(rc *app.RequestContext) ([]byte, *wire.ErrorReply) {
	if msg := checkType(rc); msg != "" {
		return nil, &wire.ErrorReply{Error: msg, Reason: ReasonMediaType}
	}
	body := rc.Request.Body()
	if !utf8.Valid(body) {
		// The decoder would replace invalid UTF-8 by a replacement character, and a
		// search for a plate with one would find no member.
		return nil, &wire.ErrorReply{Error: "the body is not valid UTF-8", Reason: ReasonBadRequest}
	}
	return body, nil
}

func checkType(rc *app.RequestContext) string {
	if enc := string(rc.GetHeader("Content-Encoding")); enc != "" && enc != "identity" {
		return "the body's encoding must be none"
	}
	header := string(rc.ContentType())
	if header == "" {
		return ""
	}
	mt, ps, err := mime.ParseMediaType(header)
	switch {
	case err != nil:
		return "the content type cannot be read"
	case mt != typeJSON && mt != typeForm && !strings.HasSuffix(mt, "+json"):
		return "the content type must be " + typeJSON
	case ps["charset"] != "" && !strings.EqualFold(ps["charset"], "utf-8"):
		return "the character set must be UTF-8"
	}
	return ""
}

// DecodeError returns the error reply for a body that the JSON decoder rejected.
func DecodeError(err error) *wire.ErrorReply {
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &te) && te.Field != "":
		return BadField(te.Field, "must be "+jsonTypeName(te)+", not "+te.Value)
	case te != nil:
		return &wire.ErrorReply{Error: "the body must be a JSON object, not " + te.Value, Reason: ReasonBadRequest}
	}
	return &wire.ErrorReply{Error: "the body is not a JSON object: " + err.Error(), Reason: ReasonBadRequest}
}

// BadField returns the error reply for an invalid field at a path.
func BadField(path, msg string) *wire.ErrorReply {
	return &wire.ErrorReply{Error: path + " " + msg, Reason: ReasonBadRequest, Path: path}
}

// jsonTypeName returns the JSON type that a field must have, in words.
func jsonTypeName(te *json.UnmarshalTypeError) string {
	switch kind := te.Type.Kind().String(); {
	case strings.HasPrefix(kind, "int"), strings.HasPrefix(kind, "uint"):
		return "a whole number"
	case strings.HasPrefix(kind, "float"):
		return "a number"
	case kind == "bool":
		return "true or false"
	default:
		return "a " + kind
	}
}
