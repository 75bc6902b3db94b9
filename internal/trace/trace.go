// Package trace explains one request from the logs of several instances: it collects the
// lines with the request's id, orders them, and says in a sentence how the request ended
// and why.
//
// Clocks differ between instances. Lines of one instance keep their order; the instances
// follow each other by the time of their first line, since a caller sends a request to
// another instance only after the first one has ended it.
package trace

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
)

// Line is one log line about the request.
type Line struct {
	Instance string
	Event    eventlog.Event
	Time     string
	Fields   map[string]string
	Text     string
}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Read returns the lines of one instance's log that name the request.
func Read(log io.Reader, instance, id string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	var out []Line
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, id) {
			continue
		}
		l := Line{Instance: instance, Text: text, Fields: map[string]string{}}
		for _, m := range field.FindAllStringSubmatch(text, -1) {
			value := m[2]
			if plain, err := strconv.Unquote(value); err == nil {
				value = plain
			}
			l.Fields[m[1]] = value
		}
		if l.Fields["request"] != id {
			continue
		}
		l.Event, l.Time = eventlog.Event(l.Fields["event"]), l.Fields["time"]
		out = append(out, l)
	}
	return out, errors.Wrap(scanner.Err(), instance)
}

// Join orders the lines of several instances.
func Join(logs ...[]Line) []Line {
	logs = slices.DeleteFunc(slices.Clone(logs), func(l []Line) bool { return len(l) == 0 })
	slices.SortStableFunc(logs, func(a, b []Line) int { return cmp.Compare(a[0].Time, b[0].Time) })
	return slices.Concat(logs...)
}

// Explain says how the request ended and why.
func Explain(lines []Line) string {
	if len(lines) == 0 {
		return "no instance has logged this request: it did not reach one, or its lines were dropped"
	}
	var end, last Line
	var failed []Line
	for _, l := range lines {
		switch l.Event {
		case eventlog.RequestEnded:
			end = l
		case eventlog.AttemptFailed:
			failed = append(failed, l)
		}
		last = l
	}
	if end.Event == "" {
		return fmt.Sprintf("the request has not ended: the last line is %s at %s", last.Event, last.Instance)
	}
	return outcome(end, lines) + causes(failed)
}

func outcome(end Line, lines []Line) string {
	f := end.Fields
	switch f["outcome"] {
	case "served":
		return fmt.Sprintf("served by %s with status %s after %s ms", f["upstream"], f["status"], f["age_ms"])
	case "overloaded":
		if r, ok := find(lines, eventlog.RequestRejected); ok {
			return fmt.Sprintf("rejected under load without running: its first output was predicted after %s ms, the target is %s ms and the reason %q; the caller was told to come back after %s ms",
				r.Fields["predicted_ms"], r.Fields["target_ms"], r.Fields["reason"], r.Fields["retry_after_ms"])
		}
		return "not run: no upstream took it"
	case "stream_broken":
		text := fmt.Sprintf("the stream broke off after %s events", f["events"])
		if _, ok := find(lines, eventlog.RetryDenied); ok {
			text += " and was not resumed, because the retry budget was used up"
		}
		return text
	case "upstream_failed":
		return "unknown outcome: bytes of the request had left and no whole answer came, so it may have run"
	case "upstream_timeout":
		return fmt.Sprintf("unknown outcome: the time limit was reached after %s ms while %s had the request", f["age_ms"], f["upstream"])
	case "time_limit":
		return fmt.Sprintf("the time limit was reached after %s ms in the middle of the stream", f["age_ms"])
	case "caller_gone":
		return fmt.Sprintf("the caller left after %s ms", f["age_ms"])
	}
	return fmt.Sprintf("ended with %s and status %s", f["outcome"], f["status"])
}

// causes lists what the upstreams did.
func causes(failed []Line) string {
	var parts []string
	for _, l := range failed {
		what := l.Fields["error"]
		if l.Fields["crashed"] == "true" {
			what += " (the upstream was down)"
		}
		parts = append(parts, fmt.Sprintf("%s failed after %s ms: %s", l.Fields["upstream"], l.Fields["after_ms"], what))
	}
	if len(parts) == 0 {
		return ""
	}
	return "; " + strings.Join(parts, "; ")
}

func find(lines []Line, event eventlog.Event) (Line, bool) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Event == event })
	if i < 0 {
		return Line{}, false
	}
	return lines[i], true
}
