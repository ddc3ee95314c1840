// Command nogo fails if a Go file below a directory starts a goroutine. No
// standard linter can forbid that for a part of the tree.
//
// # Usage
//
//	go run -C tools ./nogo ../core
//
// It prints the position of each go statement and exits with 1 if there is any,
// and with 2 if a file cannot be read. Test files are skipped: tests may start
// goroutines to show that shared types are safe for concurrent use.
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
		fmt.Printf("%s: core must not start goroutines: with a second one, the same events could lead to different actions\n", pos)
	}
	if len(found) > 0 {
		os.Exit(exitFound)
	}
}

// search returns the positions of all go statements in Go files below root, except test files.
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
