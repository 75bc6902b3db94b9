package main

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/lint"
)

// diffDeployments compares two configurations. Elements of lists whose type has a Name
// field are matched by name; other lists are compared as a whole.
func diffDeployments(before, after *config.Deployment) []lint.Change {
	var changes []lint.Change
	beforeFields, afterFields := reflect.ValueOf(*before), reflect.ValueOf(*after)
	for i := range beforeFields.NumField() {
		d := sectionDiffer{section: yamlName(beforeFields.Type().Field(i))}
		d.compare("", beforeFields.Field(i), afterFields.Field(i))
		changes = append(changes, d.changes...)
	}
	return changes
}

// sectionDiffer collects the changes of one section of the configuration.
type sectionDiffer struct {
	section string
	changes []lint.Change
}

func (d *sectionDiffer) addChange(field, before, after string) {
	d.changes = append(d.changes, lint.Change{Path: d.section + field, Before: before, After: after})
}

func (d *sectionDiffer) compare(field string, before, after reflect.Value) {
	switch {
	case reflect.DeepEqual(before.Interface(), after.Interface()):
	case before.Kind() == reflect.Struct:
		for i := range before.NumField() {
			d.compare(field+"."+yamlName(before.Type().Field(i)), before.Field(i), after.Field(i))
		}
	case isNamedList(before.Type()):
		d.compareNamedList(field, before, after)
	default:
		d.addChange(field, formatValue(before), formatValue(after))
	}
}

// compareNamedList matches list elements by name. It reports changed and removed elements
// in the old order, then added elements in the new order, and a change of order last.
func (d *sectionDiffer) compareNamedList(field string, before, after reflect.Value) {
	oldNames, newNames := elementNames(before), elementNames(after)
	for i, name := range oldNames {
		path := fmt.Sprintf("%s[%s]", field, name)
		if j := slices.Index(newNames, name); j >= 0 {
			d.compare(path, before.Index(i), after.Index(j))
		} else {
			d.addChange(path, formatValue(before.Index(i)), "")
		}
	}
	for j, name := range newNames {
		if !slices.Contains(oldNames, name) {
			d.addChange(fmt.Sprintf("%s[%s]", field, name), "", formatValue(after.Index(j)))
		}
	}
	if !slices.Equal(oldNames, newNames) && slices.Equal(slices.Sorted(slices.Values(oldNames)), slices.Sorted(slices.Values(newNames))) {
		d.addChange(field, "order "+strings.Join(oldNames, ", "), "order "+strings.Join(newNames, ", "))
	}
}

func isNamedList(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	_, ok := t.Elem().FieldByName("Name")
	return ok
}

func elementNames(list reflect.Value) []string {
	names := make([]string, list.Len())
	for i := range names {
		names[i] = list.Index(i).FieldByName("Name").String()
	}
	return names
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// formatValue formats a value on one line. Zero fields of structs are omitted.
func formatValue(v reflect.Value) string {
	if d, ok := v.Interface().(config.Duration); ok {
		return d.Std().String()
	}
	switch v.Kind() {
	case reflect.Struct:
		var fields []string
		for i := range v.NumField() {
			if !v.Field(i).IsZero() {
				fields = append(fields, yamlName(v.Type().Field(i))+"="+formatValue(v.Field(i)))
			}
		}
		return "{" + strings.Join(fields, " ") + "}"
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = formatValue(v.Index(i))
		}
		return "[" + strings.Join(items, " ") + "]"
	}
	return fmt.Sprint(v.Interface())
}
