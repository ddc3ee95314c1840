package main

import (
	"strings"
	"testing"
)

func TestTally(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		want   string
	}{
		{"no events", nil, "0 passed, 0 failed\n"},
		{
			"output of a passed test is not printed",
			[]string{
				`{"Action":"run","Package":"p","Test":"A"}`,
				`{"Action":"output","Package":"p","Test":"A","Output":"noise\n"}`,
				`{"Action":"pass","Package":"p","Test":"A"}`,
				`{"Action":"output","Package":"p","Output":"ok p\n"}`,
				`{"Action":"pass","Package":"p"}`,
			},
			"ok p\n1 passed, 0 failed\n",
		},
		{
			"output of a failed test is printed, its package is not counted",
			[]string{
				`{"Action":"output","Package":"p","Test":"A/b","Output":"cause\n"}`,
				`{"Action":"fail","Package":"p","Test":"A/b"}`,
				`{"Action":"fail","Package":"p","Test":"A"}`,
				`{"Action":"skip","Package":"p","Test":"C"}`,
				`{"Action":"fail","Package":"p"}`,
			},
			"cause\n0 passed, 2 failed, 1 skipped\n",
		},
		{
			"test without a result after a panic",
			[]string{
				`{"Action":"pass","Package":"p","Test":"A"}`,
				`{"Action":"output","Package":"p","Test":"B","Output":"panic: B\n"}`,
				`{"Action":"output","Package":"q","Test":"C","Output":"goes on\n"}`,
				`{"Action":"fail","Package":"p"}`,
				`{"Action":"pass","Package":"q","Test":"C"}`,
			},
			"panic: B\n2 passed, 1 failed\n",
		},
		{
			"package that does not build",
			[]string{
				`{"ImportPath":"p","Action":"build-output","Output":"syntax error\n"}`,
				`{"ImportPath":"p","Action":"build-fail"}`,
				`{"Action":"fail","Package":"p","FailedBuild":"p"}`,
			},
			"syntax error\n0 passed, 1 failed\n",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			ta := newTally(&out)
			err := ta.read(strings.NewReader(strings.Join(tt.events, "\n")))
			if err != nil {
				t.Fatal(err)
			}
			ta.printSummary()
			if out.String() != tt.want {
				t.Errorf("got %q, want %q", out.String(), tt.want)
			}
		})
	}
}

func TestTallyRejectsInvalidInput(t *testing.T) {
	ta := newTally(&strings.Builder{})
	err := ta.read(strings.NewReader("FAIL p"))
	if err == nil {
		t.Error("read accepted text that is not JSON")
	}
}
