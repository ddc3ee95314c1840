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
	// typeForm is what curl -d sends unless it is told otherwise.
	typeForm = "application/x-www-form-urlencoded"
)

// Body gives a request's body if it can be JSON. The bytes are the library's and
// must not outlive the handler.
func Body(rc *app.RequestContext) ([]byte, *wire.ErrorReply) {
	if msg := checkType(rc); msg != "" {
		return nil, &wire.ErrorReply{Error: msg, Reason: ReasonMediaType}
	}
	body := rc.Request.Body()
	if !utf8.Valid(body) {
		// The decoder would put a replacement character for what is not
		// UTF-8, and a plate with one in it finds nobody.
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

// DecodeError tells what is wrong with a body that the JSON decoder refused.
func DecodeError(err error) *wire.ErrorReply {
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &te) && te.Field != "":
		return BadField(te.Field, "must be "+kindOf(te)+", not "+te.Value)
	case te != nil:
		return &wire.ErrorReply{Error: "the body must be a JSON object, not " + te.Value, Reason: ReasonBadRequest}
	}
	return &wire.ErrorReply{Error: "the body is not a JSON object: " + err.Error(), Reason: ReasonBadRequest}
}

// BadField is the refusal of one field.
func BadField(path, msg string) *wire.ErrorReply {
	return &wire.ErrorReply{Error: path + " " + msg, Reason: ReasonBadRequest, Path: path}
}

func kindOf(te *json.UnmarshalTypeError) string {
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
