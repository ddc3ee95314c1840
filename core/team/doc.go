// Package team defines the configuration document that the operators of a team write, and
// parses and validates it strictly.
//
// # Usage
//
//	doc, err := team.Parse("wash", raw)
//
// Parse rejects unknown fields, wrong units and contradicting limits; every error names the
// path of its field. A parsed Document must not be modified; the With methods return changed
// copies.
package team
