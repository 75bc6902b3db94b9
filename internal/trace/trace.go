// Package trace explains the outcome of one request from the logs of several instances: it
// collects the lines with the request's ID, orders them and describes in one sentence how
// and why the request ended.
//
// Clocks of instances may differ. Lines of one instance therefore keep their order, and
// instances are ordered by the time of their first line, because a caller sends a request
// to another instance only after the previous instance has ended it.
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

// Line is one log line of the request.
type Line struct {
	Instance string
	Event    eventlog.Event
	Time     string
	Fields   map[string]string
	Text     string
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Read returns the lines of one instance's log whose field "request" is requestID.
func Read(log io.Reader, instance, requestID string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, requestID) {
			continue
		}
		line := Line{Instance: instance, Text: text, Fields: map[string]string{}}
		for _, match := range fieldPattern.FindAllStringSubmatch(text, -1) {
			value := match[2]
			if unquoted, err := strconv.Unquote(value); err == nil {
				value = unquoted
			}
			line.Fields[match[1]] = value
		}
		if line.Fields["request"] != requestID {
			continue
		}
		line.Event, line.Time = eventlog.Event(line.Fields["event"]), line.Fields["time"]
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), instance)
}

// Merge concatenates the lines of several instances, ordered by the time of the first line
// of each instance.
func Merge(logs ...[]Line) []Line {
	logs = slices.DeleteFunc(slices.Clone(logs), func(l []Line) bool { return len(l) == 0 })
	slices.SortStableFunc(logs, func(a, b []Line) int { return cmp.Compare(a[0].Time, b[0].Time) })
	return slices.Concat(logs...)
}

// Explain describes how the request ended and why.
func Explain(lines []Line) string {
	if len(lines) == 0 {
		return "no instance has logged this request: it did not reach one, or its lines were dropped"
	}
	var ended, last Line
	var failedAttempts []Line
	for _, l := range lines {
		switch l.Event {
		case eventlog.RequestEnded:
			ended = l
		case eventlog.AttemptFailed:
			failedAttempts = append(failedAttempts, l)
		}
		last = l
	}
	if ended.Event == "" {
		return fmt.Sprintf("the request has not ended: the last line is %s at %s", last.Event, last.Instance)
	}
	return describeOutcome(ended, lines) + describeFailures(failedAttempts)
}

func describeOutcome(ended Line, lines []Line) string {
	fields := ended.Fields
	switch fields["outcome"] {
	case "served":
		return fmt.Sprintf("served by %s with status %s after %s ms", fields["upstream"], fields["status"], fields["age_ms"])
	case "overloaded":
		if rejected, ok := firstEvent(lines, eventlog.RequestRejected); ok {
			return fmt.Sprintf("rejected under load without running: its first output was predicted after %s ms, the target is %s ms and the reason %q; the caller was told to come back after %s ms",
				rejected.Fields["predicted_ms"], rejected.Fields["target_ms"], rejected.Fields["reason"], rejected.Fields["retry_after_ms"])
		}
		return "not run: no upstream took it"
	case "stream_broken":
		text := fmt.Sprintf("the stream broke off after %s events", fields["events"])
		if _, ok := firstEvent(lines, eventlog.RetryDenied); ok {
			text += " and was not resumed, because the retry budget was used up"
		}
		return text
	case "upstream_failed":
		return "unknown outcome: bytes of the request had left and no whole answer came, so it may have run"
	case "upstream_timeout":
		return fmt.Sprintf("unknown outcome: the time limit was reached after %s ms while %s had the request", fields["age_ms"], fields["upstream"])
	case "time_limit":
		return fmt.Sprintf("the time limit was reached after %s ms in the middle of the stream", fields["age_ms"])
	case "caller_gone":
		return fmt.Sprintf("the caller left after %s ms", fields["age_ms"])
	}
	return fmt.Sprintf("ended with %s and status %s", fields["outcome"], fields["status"])
}

// describeFailures lists the failed attempts with their errors.
func describeFailures(failedAttempts []Line) string {
	var parts []string
	for _, l := range failedAttempts {
		cause := l.Fields["error"]
		if l.Fields["crashed"] == "true" {
			cause += " (the upstream was down)"
		}
		parts = append(parts, fmt.Sprintf("%s failed after %s ms: %s", l.Fields["upstream"], l.Fields["after_ms"], cause))
	}
	if len(parts) == 0 {
		return ""
	}
	return "; " + strings.Join(parts, "; ")
}

func firstEvent(lines []Line, event eventlog.Event) (Line, bool) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Event == event })
	if i < 0 {
		return Line{}, false
	}
	return lines[i], true
}
