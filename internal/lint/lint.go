// Package lint finds errors in configurations before they are published, entries that can never match, and values
// that contradict each other or have no effect.
package lint

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
)

// Rule classifies findings.
type Rule string

const (
	// Invalid entries are refused by instances, or fail every request that they apply to.
	Invalid Rule = "invalid"
	// NeverMatches marks an entry that no request can select.
	NeverMatches Rule = "never-matches"
	// Conflict marks values that cannot be met together.
	Conflict Rule = "conflict"
	// NoEffect marks a value that instances ignore or replace.
	NoEffect Rule = "no-effect"
)

// Finding is one questionable entry of a configuration.
type Finding struct {
	// Line is 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Field is the path of the field; it is empty if the text could not be decoded.
	Field  string `json:"field,omitempty"`
	Rule   Rule   `json:"rule"`
	Reason string `json:"reason"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	text := string(f.Rule) + ": " + f.Reason
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	if f.Line != 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// Report collects findings and locates their fields in the text, which may be YAML or JSON.
type Report struct {
	file     *ast.File // nil if the text could not be parsed
	findings []Finding
}

// NewReport returns an empty report on text.
func NewReport(text []byte) *Report {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		file = nil
	}
	return &Report{file: file}
}

// Add adds a finding on a field.
func (r *Report) Add(rule Rule, field, format string, args ...any) {
	r.findings = append(r.findings, Finding{Line: r.line(field), Field: field, Rule: rule, Reason: fmt.Sprintf(format, args...)})
}

// AddError adds the error of a text that instances refuse.
func (r *Report) AddError(err error) {
	var fieldErr *config.FieldError
	if errors.As(err, &fieldErr) {
		r.findings = append(r.findings, Finding{Line: fieldErr.Line, Field: fieldErr.Field, Rule: Invalid, Reason: fieldErr.Reason})
		return
	}
	f := Finding{Rule: Invalid, Reason: err.Error()}
	if _, scanErr := fmt.Sscanf(f.Reason, "line %d:", &f.Line); scanErr == nil {
		f.Reason = strings.TrimPrefix(f.Reason, fmt.Sprintf("line %d: ", f.Line))
	}
	r.findings = append(r.findings, f)
}

// Findings returns the findings in the order of their lines.
func (r *Report) Findings() []Finding {
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return a.Line - b.Line })
	return r.findings
}

func (r *Report) line(field string) int {
	if r.file == nil || field == "" {
		return 0
	}
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(r.file)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
