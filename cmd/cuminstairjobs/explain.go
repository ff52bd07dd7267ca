package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/urfave/cli/v2"
)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// omittedKeys are the keys that hclog adds to each line. They are neither searched nor printed as fields.
var omittedKeys = map[string]bool{"@module": true, "@timestamp": true, "@message": true, "@level": true}

// logLine is a log line that mentions the requested id.
type logLine struct {
	time   string
	source string
	text   string
	fields map[string]any
}

// explainCommand prints the log lines about a job, a worker, a host, a service or a queue.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines that mention an id, in order of time",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads log files of one or several daemons, or standard input, and prints each line that mentions the id of a job,\n" +
			"a worker, a host, a service or a queue. The clocks of daemons may differ by some milliseconds.",
		Action: func(c *cli.Context) error {
			if c.NArg() < 1 {
				return cli.Exit("explain needs an id", 2)
			}
			list, err := readLogs(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if len(list) == 0 {
				return cli.Exit("no log line mentions "+c.Args().First(), 1)
			}
			return printLines(c.App.Writer, list)
		},
	}
}

// readLogs returns the lines of all files, or of standard input, that mention the id.
func readLogs(id string, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return scanLog("", os.Stdin, id)
	}
	var list []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		more, err := scanLog(name, f, id)
		// The file was only read, so an error of Close loses no data.
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		list = append(list, more...)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].time < list[j].time })
	return list, nil
}

func scanLog(source string, r io.Reader, id string) ([]logLine, error) {
	var list []logLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		begin := strings.IndexByte(line, '{')
		if begin < 0 || !strings.Contains(line, id) {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(strings.NewReader(line[begin:]))
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil || !mentions(fields, id) {
			continue
		}
		e := logLine{source: source, fields: fields}
		e.time, _ = fields["@timestamp"].(string)
		e.text, _ = fields["@message"].(string)
		if e.source == "" {
			e.source = strings.TrimSpace(line[:begin])
		}
		list = append(list, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", source, err)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].time < list[j].time })
	return list, nil
}

// mentions reports whether the value of a field is the id, or contains "@" and the id, as in the task list
// "0:7@w1 1:8@w2". An id that begins with the requested one also matches there: "w1" finds "@w10" too.
func mentions(fields map[string]any, id string) bool {
	for key, v := range fields {
		s, ok := v.(string)
		if ok && !omittedKeys[key] && (s == id || strings.Contains(s, "@"+id)) {
			return true
		}
	}
	return false
}

func printLines(w io.Writer, list []logLine) error {
	for _, e := range list {
		var keys []string
		for k := range e.fields {
			if !omittedKeys[k] {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		var text strings.Builder
		for _, k := range keys {
			fmt.Fprintf(&text, " %s=%v", strings.ReplaceAll(k, " ", "-"), e.fields[k])
		}
		if _, err := fmt.Fprintf(w, "%s %s %s%s\n", e.time, e.source, e.text, text.String()); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return nil
}
