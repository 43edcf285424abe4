package rwnctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// relatedWindow is the time before a request's arrival from which on other events are
// included in the explanation.
const relatedWindow = 10 * time.Second

// errRequestNotLogged is returned if no line of the log has the request's ID.
var errRequestNotLogged = errors.New("no line of the log names the request")

// logLine is one logfmt line of a node's log.
type logLine struct {
	timestamp time.Time
	fields    map[string]string
	text      string
}

// explainLog prints the lines about a request from the logs of entry nodes, ordered
// by time; relatedLines selects them.
func (r *run) explainLog(path, id string) error {
	in := r.In
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		defer f.Close()
		in = f
	}
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	related := relatedLines(lines, id)
	if len(related) == 0 {
		return fmt.Errorf("%w: %s", errRequestNotLogged, id)
	}
	for _, l := range related {
		if _, err := fmt.Fprintln(r.Out, l.text); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads logfmt lines and sorts them by time. It drops anything before the
// field ts, such as a prefix added by a log collector, and skips lines that have no
// such field or can't be parsed.
func readLog(in io.Reader) ([]logLine, error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	var lines []logLine
	for text := range strings.Lines(string(data)) {
		_, rest, found := strings.Cut(text, "ts=")
		if !found {
			continue
		}
		text = strings.TrimSpace("ts=" + rest)
		l := logLine{fields: map[string]string{}, text: text}
		decoder := logfmt.NewDecoder(strings.NewReader(text))
		for decoder.ScanRecord() {
			for decoder.ScanKeyval() {
				l.fields[string(decoder.Key())] = string(decoder.Value())
			}
		}
		if l.timestamp, err = time.Parse(time.RFC3339Nano, l.fields["ts"]); err != nil || decoder.Err() != nil {
			continue // skip a truncated line
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return lines, nil
}

// attemptsOf returns the IDs of the request and of those that took the same stream up.
func attemptsOf(lines []logLine, id string) map[string]bool {
	first := id
	for _, l := range lines {
		if l.fields["id"] == id && l.fields["resumes"] != "" {
			first = l.fields["resumes"]
		}
	}
	ids := map[string]bool{id: true, first: true}
	for _, l := range lines {
		if l.fields["resumes"] == first {
			ids[l.fields["id"]] = true
		}
	}
	return ids
}

// relatedLines returns the lines with the IDs of the request and of others that took up its
// stream, and those of other events from relatedWindow before its arrival to its last line:
// orders for its model, events of the backend servers that it was sent to and, if the request's
// lines name a model, changes of leadership. It returns nil if no line has the ID. The lines
// must be sorted by time.
func relatedLines(lines []logLine, id string) []logLine {
	ids := attemptsOf(lines, id)
	own := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return !ids[l.fields["id"]] })
	if len(own) == 0 {
		return nil
	}
	model, servers := "", map[string]bool{}
	for _, l := range own {
		if l.fields["model"] != "" {
			model = l.fields["model"]
		}
		if server := l.fields["server"]; server != "" {
			servers[server] = true
		}
	}
	last := own[len(own)-1]
	start := last.timestamp.Add(-relatedWindow)
	if total, err := time.ParseDuration(last.fields["total_ms"] + "ms"); err == nil {
		start = start.Add(-total)
	}
	return slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		switch {
		case ids[l.fields["id"]]:
			return false
		case l.timestamp.Before(start) || l.timestamp.After(last.timestamp):
			return true
		case l.fields["event"] == "order":
			return model == "" || l.fields["model"] != model
		case l.fields["event"] == "server" || l.fields["event"] == "server_gone":
			return !servers[l.fields["server"]]
		}
		return l.fields["event"] != "tenure" || model == ""
	})
}
