// Command nogo fails where Go files below a directory start a goroutine, which
// no stock linter can forbid for a part of the tree.
//
// # Usage
//
//	go run -C tools ./nogo ../core
//
// It prints each go statement with its place and exits 1 if there was any, 2 if
// a file could not be read. Tests are left out: they may start goroutines to
// show that what is meant to be shared can be.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Exit codes.
const (
	exitFound = 1
	exitError = 2
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: nogo DIRECTORY")
		os.Exit(exitError)
	}
	found, err := search(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "nogo:", err)
		os.Exit(exitError)
	}
	for _, pos := range found {
		fmt.Printf("%s: core starts no goroutine: a second one could make the same events give other actions\n", pos)
	}
	if len(found) > 0 {
		os.Exit(exitFound)
	}
}

// search lists the go statements of the Go files below root.
func search(root string) ([]token.Position, error) {
	var found []token.Position
	err := filepath.WalkDir(root, func(path string, de fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if de.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		inFile, err := searchFile(path)
		found = append(found, inFile...)
		return err
	})
	return found, err
}

func searchFile(path string) ([]token.Position, error) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var found []token.Position
	ast.Inspect(file, func(n ast.Node) bool {
		stmt, ok := n.(*ast.GoStmt)
		if ok {
			found = append(found, set.Position(stmt.Pos()))
		}
		return true
	})
	return found, nil
}
