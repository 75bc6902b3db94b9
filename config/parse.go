package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// MaxBytes bounds a configuration text: the platform holds values up to 1 MB.
const MaxBytes = 1_000_000

// Parse reads a configuration text strictly and validates it. Unknown keys are
// errors. The error is one line that names the line and the field.
func Parse(text []byte) (*Deployment, error) {
	if len(text) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, the limit is %d", len(text), MaxBytes)
	}
	d := new(Deployment)
	if err := DecodeStrict(text, d); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, Locate(text, err)
	}
	return d, nil
}

// FieldError is a violation at one field. Line is 0 where it is not known.
type FieldError struct {
	Line   int
	Field  string
	Reason string
}

// Error returns one line.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return e.Field + ": " + e.Reason
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}

// Locate adds the line of the field in text to a [FieldError]. Other errors are
// returned as they are.
func Locate(text []byte, err error) error {
	var field *FieldError
	if !errors.As(err, &field) || field.Line != 0 {
		return err
	}
	located := *field
	for name := field.Field; name != ""; name = parent(name) {
		path, err := yaml.PathString("$." + name)
		if err != nil {
			continue
		}
		node, err := path.ReadNode(bytes.NewReader(text))
		if err == nil && node != nil {
			located.Line = node.GetToken().Position.Line
			break
		}
	}
	return &located
}

// parent returns the path of the enclosing field. A required field that is
// missing has no line of its own, so its parent's line is shown.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// DecodeStrict decodes YAML into v, refuses unknown keys and returns errors of one
// line that start with the line number where the decoder knows it.
func DecodeStrict(text []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.DisallowUnknownField())
	if err := dec.Decode(v); err != nil {
		var field *FieldError
		if errors.As(err, &field) {
			return field
		}
		return errors.New(oneLine(err))
	}
	return nil
}

// oneLine shortens a decoder error to its first line, without the source excerpt.
func oneLine(err error) string {
	text := yaml.FormatError(err, false, false)
	if first, _, ok := strings.Cut(text, "\n"); ok {
		text = first
	}
	if strings.HasPrefix(text, "[") {
		if pos, rest, ok := strings.Cut(text[1:], "] "); ok {
			line, _, _ := strings.Cut(pos, ":")
			return "line " + line + ": " + rest
		}
	}
	return text
}

// YAML validates the deployment and prints it. The order is stable.
func (d *Deployment) YAML() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	text, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, errors.Wrap(err, "print configuration")
	}
	if len(text) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, the limit is %d", len(text), MaxBytes)
	}
	return text, nil
}
