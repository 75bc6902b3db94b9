package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Tables are the generated parts of the page, by name.
type Tables []Table

// Table is one generated part.
type Table struct{ Name, Text string }

// Write prints the tables with their markers.
func (t Tables) Write(w io.Writer) error {
	for _, table := range t {
		if _, err := fmt.Fprintf(w, "%s%s%s\n\n", openMarker(table.Name), table.Text, closeMarker); err != nil {
			return errors.Wrap(err, "write tables")
		}
	}
	return nil
}

// Markers surround a table in the page.
const closeMarker = "<!-- end -->"

func openMarker(name string) string { return "<!-- table " + name + " -->\n" }

// Update replaces every table in a page. Each table must be there once.
func (t Tables) Update(page string) (string, error) {
	for _, table := range t {
		before, rest, ok := strings.Cut(page, openMarker(table.Name))
		if !ok {
			return "", errors.Errorf("the page has no table %q", table.Name)
		}
		_, after, ok := strings.Cut(rest, closeMarker)
		if !ok || strings.Contains(after, openMarker(table.Name)) {
			return "", errors.Errorf("the table %q does not end, or is there twice", table.Name)
		}
		page = before + openMarker(table.Name) + table.Text + closeMarker + after
	}
	return page, nil
}

// markdown lays out rows as a table.
func markdown(header []string, rows [][]string) string {
	var b strings.Builder
	b.WriteString("| " + strings.Join(header, " | ") + " |\n|" + strings.Repeat(" --- |", len(header)) + "\n")
	for _, row := range rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return b.String()
}

// number prints three significant digits, with thousands separated.
func number(v float64) string {
	if v < 0 {
		return "−" + number(-v)
	}
	if v < 1000 {
		return strings.TrimSuffix(fmt.Sprintf("%.3g", v), ".0")
	}
	text := fmt.Sprintf("%.0f", v)
	var groups []string
	for len(text) > 3 {
		groups = append([]string{text[len(text)-3:]}, groups...)
		text = text[:len(text)-3]
	}
	return strings.Join(append([]string{text}, groups...), ",")
}
