package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"time"
)

// recorder writes record.txt: what was done, sent, answered and run, with times since its start.
type recorder struct {
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (rec *recorder) close() {
	_ = rec.out.Flush()
	_ = rec.file.Close()
}

func (rec *recorder) since(at time.Time) string {
	return fmt.Sprintf("%9.4f s", at.Sub(rec.began).Seconds())
}

// line records one thing that the case did or found, and prints it.
func (rec *recorder) line(format string, args ...any) {
	text := rec.since(time.Now()) + "  " + fmt.Sprintf(format, args...)
	fmt.Println(text)
	_, _ = fmt.Fprintln(rec.out, text)
}

// fail records why the case could not run.
func (rec *recorder) fail(err error) int {
	rec.line("the case could not run: %v", err)
	return notShown
}

// traffic records all requests and what servers did, by time.
func (rec *recorder) traffic(clients []*client, events []Event) {
	type entry struct {
		at   time.Time
		text string
	}
	var entries []entry
	for _, cl := range clients {
		for _, se := range cl.Sent() {
			entries = append(entries, entry{se.At, "sent " + se.ID + " to " + se.VM})
			text := fmt.Sprintf("answered %s: %d %s", se.ID, se.Status, se.Err)
			entries = append(entries, entry{se.At.Add(se.Took), text})
		}
	}
	for _, ev := range events {
		entries = append(entries, entry{time.Unix(0, ev.At), "server " + ev.Server + " " + ev.Kind + " " + ev.ID + " " + ev.Left})
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].at.Before(entries[j].at) })
	for _, en := range entries {
		_, _ = fmt.Fprintln(rec.out, rec.since(en.at)+"  "+en.text)
	}
}
