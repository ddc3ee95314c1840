// Command schema writes the JSON schema of a team's configuration.
//
// # Usage
//
//	go generate ./docs/schema
//
// The schema is generated from the same table of fields that team.Parse uses. The
// file is committed for editors, and for operators who have only the documentation.
package main

//go:generate go run . -out team.schema.json
