package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Tables is the list of generated tables of the page.
type Tables []Table

// Table is a generated Markdown table with the name in its marker.
type Table struct{ Name, Text string }

// Write writes the tables with their markers.
func (t Tables) Write(w io.Writer) error {
	for _, table := range t {
		if _, err := fmt.Fprintf(w, "%s%s%s\n\n", openMarker(table.Name), table.Text, closeMarker); err != nil {
			return errors.Wrap(err, "write tables")
		}
	}
	return nil
}

// closeMarker ends a table in the page; openMarker returns the marker that starts it.
const closeMarker = "<!-- end -->"

func openMarker(name string) string { return "<!-- table " + name + " -->\n" }

// Update replaces the tables in a page. The page must contain each table exactly once.
func (t Tables) Update(page string) (string, error) {
	for _, table := range t {
		before, rest, ok := strings.Cut(page, openMarker(table.Name))
		if !ok {
			return "", errors.Errorf("the page has no table %q", table.Name)
		}
		_, after, ok := strings.Cut(rest, closeMarker)
		if !ok || strings.Contains(after, openMarker(table.Name)) {
			return "", errors.Errorf("the table %q has no end marker or occurs twice", table.Name)
		}
		page = before + openMarker(table.Name) + table.Text + closeMarker + after
	}
	return page, nil
}

// markdownTable formats rows as a Markdown table.
func markdownTable(header []string, rows [][]string) string {
	var b strings.Builder
	b.WriteString("| " + strings.Join(header, " | ") + " |\n|" + strings.Repeat(" --- |", len(header)) + "\n")
	for _, row := range rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return b.String()
}

// formatNumber formats numbers below 1,000 with three significant digits and larger ones
// as integers with thousands separators.
func formatNumber(v float64) string {
	if v < 0 {
		return "−" + formatNumber(-v)
	}
	if v < 1000 {
		return strings.TrimSuffix(fmt.Sprintf("%.3g", v), ".0")
	}
	digits := fmt.Sprintf("%.0f", v)
	var groups []string
	for len(digits) > 3 {
		groups = append([]string{digits[len(digits)-3:]}, groups...)
		digits = digits[:len(digits)-3]
	}
	return strings.Join(append([]string{digits}, groups...), ",")
}
