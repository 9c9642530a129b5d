//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and collects the breaks of rules.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	start  time.Time
	breaks []string
	counts map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now(), counts: map[string]int{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// broken records that a rule was broken.
func (r *record) broken(rule, format string, args ...any) {
	text := rule + " broken: " + fmt.Sprintf(format, args...)
	r.line("%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
