package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and the broken rules.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	lines  []string
	broken []string
	byRule map[string]int
}

func newRecord() *record { return &record{begun: time.Now(), byRule: map[string]int{}} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// breaks records that a rule is broken.
func (r *record) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
	r.byRule[rule]++
}

func (r *record) count(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRule[rule]
}

func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	for _, l := range r.lines {
		fmt.Fprintln(f, l)
	}
	_ = f.Close()
}

// tempDir is the temporary folder of the case.
var tempDir string

// fatal ends the program because the case can't run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	endAll()
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
	os.Exit(2)
}
