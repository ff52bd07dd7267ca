// Command sim3 plays the scripts of the review: it starts the program of the deploy file on loopback addresses, with stand-ins for
// the platform and the clients, and checks the rules by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file for what was seen")
	flag.Parse()
	record, err := os.Create(*out)
	if err != nil {
		fail("create the record: %v", err)
	}
	abs, err := filepath.Abs(*root)
	if err != nil {
		fail("find the root: %v", err)
	}
	w := newWorld(record)
	s := newSystem(w, abs)
	trouble := os.Getenv("TROUBLE") != "0"
	scenes := map[string]func(*system, bool){"reborn": reborn, "deadly": deadly, "ratios": ratios, "aged": aged, "flood": flood, "sweep": sweep}
	scene := scenes[flag.Arg(0)]
	if scene == nil {
		fail("no scene %q", flag.Arg(0))
	}
	w.log("scene %s, trouble %v", flag.Arg(0), trouble)
	scene(s, trouble)
	s.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range s.daemons {
		if d.ends > 0 {
			w.log("%s ended by itself %d times, for example since its ports are taken", d.name, d.ends)
			fail("%s ended by itself; see the record", d.name)
		}
	}
	verdict, code := "held", 0
	if len(w.broken) > 0 {
		verdict, code = "broken", 1
	}
	w.log("the rule was %s: %d violations", verdict, len(w.broken))
	fmt.Printf("%s: the rule was %s, %d violations\n", flag.Arg(0), verdict, len(w.broken))
	for i, b := range w.broken {
		if i == 5 {
			break
		}
		fmt.Println(" ", b)
	}
	os.Exit(code)
}
