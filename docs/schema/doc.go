// Command schema writes the JSON schema of a team's configuration.
//
// # Usage
//
//	go generate ./docs/schema
//
// The schema comes from the same table of fields that team.Parse reads by. Its
// file is committed, for editors and for operators who have only the page.
package main

//go:generate go run . -out team.schema.json
