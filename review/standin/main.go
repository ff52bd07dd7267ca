// Command standin plays one case of the review: it starts the daemons of the deploy file as separate processes on
// loopback addresses, with a platform, minions and clients of its own, and checks the rules on what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

// caseFunc plays a case. trouble is false for the run without the disruption. It returns the rule that it checks.
type caseFunc func(dir, program string, trouble bool) (f *fleet, rules []string)

var cases = map[string]caseFunc{
	"gang":    playGang,
	"silent":  playSilent,
	"restart": playRestart,
	"ack":     playAck,
	"soak":    playSoak,
	"large":   playLarge,
}

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/cuminstairjobs", "program under test")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the folder with the logs")
	flag.Parse()
	play := cases[*name]
	path, err := filepath.Abs(*program)
	if _, serr := os.Stat(path); play == nil || err != nil || serr != nil {
		fatal("no such case, or the program is not built: %s", *program)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal("%v", err)
	}
	tempDir = dir
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		fatal("stopped")
	}()
	f, rules := play(dir, path, os.Getenv("TROUBLE") != "0")
	endAll()
	broken := 0
	for _, r := range rules {
		broken += f.rec.count(r)
	}
	f.rec.add("checked: %s; broken %d times", strings.Join(rules, ", "), broken)
	f.rec.write(*out)
	if *keep {
		fmt.Println(dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	for _, b := range f.rec.broken {
		fmt.Println(b)
	}
	if broken > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}
