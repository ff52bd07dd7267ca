package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/entry"
	"cuminstair.org/cuminstair/intake"
)

// previewTimeout is longer than a daemon takes to give up.
const previewTimeout = 5 * time.Second

// previewCommand asks a daemon where a job would go.
func previewCommand() *cli.Command {
	return &cli.Command{
		Name:  "preview",
		Usage: "ask a daemon where a job would go now, and why, without sending it",
		Description: "Prints queue, service and owner, the admission decision with its inputs, and for each first step the workers that\n" +
			"placement would choose, best first. Nothing is kept of the job. Any daemon can be asked, on its internal port.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`HOST:PORT` of the internal port of a daemon", Required: true},
			&cli.StringFlag{Name: "host", Usage: "host `NAME` of the queue", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the queue", Required: true},
			&cli.StringFlag{Name: "job", Usage: "`FILE` with the job as callers send it; -: standard input", Required: true},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(c *cli.Context) error {
			job, err := readJob(c.String("job"))
			if err != nil {
				return err
			}
			q := entry.PreviewRequest{Host: c.String("host"), Path: c.String("path"), Job: job, Account: c.String("account")}
			a, err := askPreview(c.Context, c.String("daemon"), &q)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				err = json.NewEncoder(c.App.Writer).Encode(a)
			} else {
				_, err = io.WriteString(c.App.Writer, previewText(a))
			}
			if err != nil {
				return fmt.Errorf("print: %w", err)
			}
			return nil
		},
	}
}

// readJob reads a job, which must be JSON.
func readJob(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	}
	if !json.Valid(data) {
		return nil, errors.New("read job: it is not JSON")
	}
	return data, nil
}

func askPreview(ctx context.Context, addr string, q *entry.PreviewRequest) (*entry.PreviewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	data, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+entry.PreviewPath, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask daemon: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a entry.PreviewReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, intake.PeerBody)).Decode(&a); err != nil {
		return nil, fmt.Errorf("decode answer with status %d: %w", resp.StatusCode, err)
	}
	if a.Error != "" || a.Preview == nil {
		return nil, fmt.Errorf("no preview: status %d: %s", resp.StatusCode, a.Error)
	}
	return &a, nil
}

// previewText returns a preview as lines for people.
func previewText(a *entry.PreviewReply) string {
	var b strings.Builder
	p := a.Preview
	fmt.Fprintf(&b, "queue %s, service %s, owner %s, configuration %d\n", a.Queue, p.Service, a.Owner, a.Config)
	if x := p.Account; x != nil {
		fair := "no bound"
		if x.FairShare != nil {
			fair = fmt.Sprintf("%.2f cores", *x.FairShare)
		}
		fmt.Fprintf(&b, "account %s: fair share %s, accepted lately %.2f cores, above its share: %t\n", x.Name, fair, x.Accepted, x.Above)
		fmt.Fprintf(&b, "  limit (cpu, MB, accelerators) %v, share of this service %v, used %v\n", x.Limit, x.LimitShare, x.Used)
	}
	b.WriteString(admissionText(&p.Admission))
	for i := range p.Steps {
		b.WriteString(stepText(&p.Steps[i]))
	}
	return b.String()
}

func admissionText(v *dispatch.AdmissionPreview) string {
	text := "admission: accepted, in time"
	switch {
	case !v.Accept:
		text = "admission: refused: " + v.Why
	case !v.Decided:
		return "admission: accepted, whatever the load\n"
	case v.Late:
		text = "admission: accepted, late"
	}
	return text + fmt.Sprintf("\n  pool of %.2f cores, %.2f coming, %.2f idle; work ahead %.2f core-seconds, of the job %.2f\n"+
		"  expected to finish in %d ms, due in %d ms, useless in %d ms\n",
		v.Cores, v.ExtraCores, v.Free, v.Before, v.Work, v.FinishMS, v.DueMS, v.ExpiryMS)
}

func stepText(st *dispatch.StepPreview) string {
	var b strings.Builder
	fmt.Fprintf(&b, "step %d, tasks %d: eligible workers %d\n", st.Index, st.Tasks, st.Eligible)
	if st.Blocked != "" {
		fmt.Fprintf(&b, "  does not start now: %s\n", st.Blocked)
	}
	for i := range st.Workers {
		w := &st.Workers[i]
		fmt.Fprintf(&b, "  %s rack %q score %.3f: %s\n", w.ID, w.Rack, w.Score, termsText(w))
	}
	if more := st.Eligible - len(st.Workers); more > 0 {
		fmt.Fprintf(&b, "  and %d more\n", more)
	}
	for _, why := range slices.Sorted(maps.Keys(st.Ineligible)) {
		fmt.Fprintf(&b, "  not eligible: %d: %s\n", st.Ineligible[why], why)
	}
	return b.String()
}

// termsText returns the terms of a score that are not 0.
func termsText(w *dispatch.WorkerPreview) string {
	t := &w.Terms
	var list []string
	for _, x := range []struct {
		name  string
		value float64
	}{
		{"free cpu", t.FreeCPU},
		{"imbalance", t.Imbalance},
		{"slowdown", t.Slowdown},
		{"remote data", t.RemoteData},
		{"other centre", t.OtherCentre},
		{"endangered", t.Endangered},
		{"maintenance", t.Maintenance},
		{"spread", t.Spread},
		{"long-running", t.LongRunning},
		{"interfering", t.Interfering},
	} {
		if x.value != 0 {
			list = append(list, fmt.Sprintf("%s %.3f", x.name, x.value))
		}
	}
	return strings.Join(list, ", ")
}
