// Command sim-2 plays the cases of the second review that are scripts: it starts the program of the deploy file as separate processes, with small
// stand-ins for the platform, the servers and the clients, and checks one rule.
//
//	sim-2 CASE FOLDER
//
// It writes FOLDER/record.txt, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 115 * time.Second

// outcome is what a case has seen: broken names the rule and how it was broken; empty: it held.
type outcome struct {
	broken string
	err    error
}

var cases = map[string]func(*world, bool) outcome{
	"repoint": repoint,
	"block":   block,
	"label":   label,
	"reborn":  reborn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sim-2:", err)
		return 2
	}
	defer w.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	outcomes := make(chan outcome, 1)
	go func() { outcomes <- cases[name](w, os.Getenv("TROUBLE") != "0") }()
	var o outcome
	select {
	case o = <-outcomes:
	case <-time.After(longest):
		o.err = fmt.Errorf("it took longer than %s", longest)
	case s := <-signals:
		o.err = fmt.Errorf("it was ended by the signal %s", s)
	}
	if o.err == nil && w.endedEarly.Load() > 0 {
		o.err = errors.New("a daemon has ended by itself")
	}
	code, verdict := 0, "the rule held"
	switch {
	case o.err != nil:
		code, verdict = 2, "the case could not run: "+o.err.Error()
	case o.broken != "":
		code, verdict = 1, "the rule was broken: "+o.broken
	}
	fmt.Println(verdict)
	if err := w.finish(filepath.Join(folder, "record.txt"), verdict); err != nil {
		fmt.Fprintln(os.Stderr, "sim-2:", err)
		return 2
	}
	return code
}
