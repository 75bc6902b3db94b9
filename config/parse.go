package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of an encoded configuration: the platform stores values
// of up to 1 MB.
const MaxBytes = 1_000_000

// Parse decodes and validates a configuration. Unknown keys are errors. An error is a
// single line of text that gives the line number and the field.
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

// FieldError is a validation error of one field. Line is 0 if it is not known.
type FieldError struct {
	Line   int
	Field  string
	Reason string
}

// Error returns a single line of text.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return e.Field + ": " + e.Reason
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Reason)
}

// Locate adds the line number of the field in text to a [FieldError]. Other errors are
// returned unchanged.
func Locate(text []byte, err error) error {
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Line != 0 {
		return err
	}
	located := *fieldErr
	for fieldPath := fieldErr.Field; fieldPath != ""; fieldPath = parentPath(fieldPath) {
		path, err := yaml.PathString("$." + fieldPath)
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

// parentPath returns the path of the enclosing field. A missing required field has no
// line number, so the line of its parent is reported.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// DecodeStrict decodes YAML into v and rejects unknown keys. An error is a single line
// of text that starts with the line number if the decoder provides one.
func DecodeStrict(text []byte, v any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.DisallowUnknownField())
	if err := decoder.Decode(v); err != nil {
		var fieldErr *FieldError
		if errors.As(err, &fieldErr) {
			return fieldErr
		}
		return errors.New(summarizeDecodeError(err))
	}
	return nil
}

// summarizeDecodeError reduces a decoder error to its first line, without the source
// excerpt, and moves the position to the front as "line N: ".
func summarizeDecodeError(err error) string {
	text := yaml.FormatError(err, false, false)
	if firstLine, _, ok := strings.Cut(text, "\n"); ok {
		text = firstLine
	}
	if strings.HasPrefix(text, "[") {
		if position, message, ok := strings.Cut(text[1:], "] "); ok {
			line, _, _ := strings.Cut(position, ":")
			return "line " + line + ": " + message
		}
	}
	return text
}

// YAML validates the deployment and encodes it as YAML in a stable order.
func (d *Deployment) YAML() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	text, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(text) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, the limit is %d", len(text), MaxBytes)
	}
	return text, nil
}
