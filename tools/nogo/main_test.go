package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestSearch(t *testing.T) {
	tests := []struct {
		name, file, source string
		want               int
	}{
		{"no go statement", "a.go", "package a\n\nfunc f() { defer f() }\n", 0},
		{"one go statement", "a.go", "package a\n\nfunc f() { go f() }\n", 1},
		{"nested go statements", "a.go", "package a\n\nfunc f() {\n\tgo func() {\n\t\tgo f()\n\t}()\n}\n", 2},
		{"test file", "a_test.go", "package a\n\nfunc f() { go f() }\n", 0},
		{"file in a subdirectory", "b/c/a.go", "package a\n\nfunc f() { if true { go f() } }\n", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			root := t.TempDir()
			path := filepath.Join(root, tt.file)
			err := os.MkdirAll(filepath.Dir(path), 0o755)
			if err != nil {
				t.Fatal(err)
			}
			err = os.WriteFile(path, []byte(tt.source), 0o600)
			if err != nil {
				t.Fatal(err)
			}
			found, err := search(root)
			if err != nil {
				t.Fatal(err)
			}
			if len(found) != tt.want {
				t.Errorf("search = %v, want %d positions", found, tt.want)
			}
		})
	}
}

func TestSearchReportsMissingDirectory(t *testing.T) {
	_, err := search(filepath.Join(t.TempDir(), "absent"))
	if err == nil {
		t.Error("search of an absent directory gave no error")
	}
}
