// Package team is a team's configuration: the document its operators write, its
// strict reading and its validation.
//
// # Usage
//
//	doc, err := team.Parse("wash", raw)
//
// Parse refuses unknown fields, wrong units and limits that contradict each
// other; every error names the path of the field. A Document is a value that
// nothing changes once it has been parsed.
package team
