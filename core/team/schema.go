package team

import (
	"bytes"
	"encoding/json"
)

const (
	schemaDialect = "https://json-schema.org/draft/2020-12/schema"
	schemaID      = "urn:laburnumvane:schema:team:1"
)

// schemaNode is a JSON Schema.
type schemaNode struct {
	Schema           string   `json:"$schema,omitempty"`
	ID               string   `json:"$id,omitempty"`
	Title            string   `json:"title,omitempty"`
	Description      string   `json:"description,omitempty"`
	Type             string   `json:"type,omitempty"`
	Const            *float64 `json:"const,omitempty"`
	Enum             []string `json:"enum,omitempty"`
	Default          *float64 `json:"default,omitempty"`
	Minimum          *float64 `json:"minimum,omitempty"`
	Maximum          *float64 `json:"maximum,omitempty"`
	ExclusiveMaximum *float64 `json:"exclusiveMaximum,omitempty"`
	Pattern          string   `json:"pattern,omitempty"`

	Properties    map[string]schemaNode `json:"properties,omitempty"`
	Required      []string              `json:"required,omitempty"`
	PropertyNames *schemaNode           `json:"propertyNames,omitempty"`
	MinProperties int                   `json:"minProperties,omitempty"`
	// AdditionalProperties is false, or a *schemaNode for the values of a map.
	AdditionalProperties any `json:"additionalProperties,omitempty"`

	Items    *schemaNode  `json:"items,omitempty"`
	MinItems int          `json:"minItems,omitempty"`
	AnyOf    []schemaNode `json:"anyOf,omitempty"`
}

// Schema returns the indented JSON Schema of a document. It is generated from the field
// definitions that Parse uses. A schema cannot compare two fields, so Parse rejects more
// documents.
func Schema() ([]byte, error) {
	node := objectNode("The configuration of one team.", documentFields())
	node.Schema = schemaDialect
	node.ID = schemaID
	node.Title = "laburnumvane team configuration"

	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(node); err != nil {
		return nil, &Error{Op: "team.Schema", Kind: KindInvalid, Msg: err.Error()}
	}
	return buf.Bytes(), nil
}

func objectNode[T any](doc string, flds []field[T]) schemaNode {
	node := schemaNode{Type: "object", Description: doc, Properties: map[string]schemaNode{}, AdditionalProperties: false}
	for _, fld := range flds {
		node.Properties[fld.name] = fld.node
		if fld.required {
			node.Required = append(node.Required, fld.name)
		}
	}
	return node
}

func floatPtr[N ~int | ~int64 | ~float64](val N) *float64 {
	num := float64(val)
	return &num
}
