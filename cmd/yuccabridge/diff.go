package main

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/yuccabridge/yuccabridge/config"
)

// change is one difference between two configurations.
type change struct {
	Section string
	Field   string
	Before  string // empty: added
	After   string // empty: removed
}

// String returns one line: section, field and both values.
func (c change) String() string {
	at := c.Section + c.Field
	switch {
	case c.Before == "":
		return "+ " + at + ": " + c.After
	case c.After == "":
		return "- " + at + ": " + c.Before
	}
	return "~ " + at + ": " + c.Before + " -> " + c.After
}

// diff compares two configurations. Entries of lists whose type has a name are
// matched by it, other lists are compared as a whole.
func diff(before, after *config.Deployment) []change {
	var out []change
	old, now := reflect.ValueOf(*before), reflect.ValueOf(*after)
	for i := range old.NumField() {
		w := walker{section: yamlName(old.Type().Field(i))}
		w.walk("", old.Field(i), now.Field(i))
		out = append(out, w.changes...)
	}
	return out
}

type walker struct {
	section string
	changes []change
}

func (w *walker) add(field, before, after string) {
	w.changes = append(w.changes, change{Section: w.section, Field: field, Before: before, After: after})
}

func (w *walker) walk(field string, before, after reflect.Value) {
	switch {
	case reflect.DeepEqual(before.Interface(), after.Interface()):
	case before.Kind() == reflect.Struct:
		for i := range before.NumField() {
			w.walk(field+"."+yamlName(before.Type().Field(i)), before.Field(i), after.Field(i))
		}
	case isNamedList(before.Type()):
		w.walkList(field, before, after)
	default:
		w.add(field, show(before), show(after))
	}
}

// walkList matches the entries by name, in the old order and then the new one.
func (w *walker) walkList(field string, before, after reflect.Value) {
	old, now := names(before), names(after)
	for i, name := range old {
		at := fmt.Sprintf("%s[%s]", field, name)
		if j := slices.Index(now, name); j >= 0 {
			w.walk(at, before.Index(i), after.Index(j))
		} else {
			w.add(at, show(before.Index(i)), "")
		}
	}
	for j, name := range now {
		if !slices.Contains(old, name) {
			w.add(fmt.Sprintf("%s[%s]", field, name), "", show(after.Index(j)))
		}
	}
	if !slices.Equal(old, now) && slices.Equal(slices.Sorted(slices.Values(old)), slices.Sorted(slices.Values(now))) {
		w.add(field, "order "+strings.Join(old, ", "), "order "+strings.Join(now, ", "))
	}
}

func isNamedList(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	_, ok := t.Elem().FieldByName("Name")
	return ok
}

func names(list reflect.Value) []string {
	out := make([]string, list.Len())
	for i := range out {
		out[i] = list.Index(i).FieldByName("Name").String()
	}
	return out
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// show prints a value on one line; structs show the fields that are set.
func show(v reflect.Value) string {
	if d, ok := v.Interface().(config.Duration); ok {
		return d.Std().String()
	}
	switch v.Kind() {
	case reflect.Struct:
		var fields []string
		for i := range v.NumField() {
			if !v.Field(i).IsZero() {
				fields = append(fields, yamlName(v.Type().Field(i))+"="+show(v.Field(i)))
			}
		}
		return "{" + strings.Join(fields, " ") + "}"
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = show(v.Index(i))
		}
		return "[" + strings.Join(items, " ") + "]"
	}
	return fmt.Sprint(v.Interface())
}
