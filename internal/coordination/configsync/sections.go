package configsync

import (
	"bytes"
	"crypto/sha256"
	"strings"
)

const (
	// MetaSection is the name of the first section: all that belongs to no list item.
	MetaSection = "meta"
	// maxSectionName bounds section names in bytes.
	maxSectionName = 100
	// maxSplit bounds the sections of a text; what follows stays in the last one.
	maxSplit = 4096
)

// splitKeys are the top-level lists whose items are sections of their own.
var splitKeys = map[string]bool{"models": true, "services": true}

// Split cuts a configuration text into its sections. Joined in order they are the
// text again, whatever the text is: a text in an unexpected form yields fewer
// sections.
func Split(text []byte) []Section {
	var out []Section
	name, start := MetaSection, 0
	cut := func(at int, next string) {
		if at > start {
			out = append(out, newSection(name, text[start:at]))
		}
		name, start = next, at
	}
	key, indent := "", -1
	for at := 0; at < len(text); {
		line := text[at:]
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			line = line[:i+1]
		}
		trimmed := bytes.TrimLeft(line, " ")
		depth := len(line) - len(trimmed)
		switch {
		case len(bytes.TrimSpace(line)) == 0 || trimmed[0] == '#':
		case depth == 0 && trimmed[0] != '-':
			if splitKeys[key] {
				cut(at, "after "+key)
			}
			key, indent = string(bytes.TrimRight(trimmed, ": \r\n")), -1
		case splitKeys[key] && trimmed[0] == '-' && (indent < 0 || depth == indent) && len(out) < maxSplit:
			indent = depth
			cut(at, sectionName(key, trimmed))
		}
		at += len(line)
	}
	cut(len(text), "")
	return out
}

// sectionName derives the name of an item from its first line, "- name: x".
func sectionName(key string, line []byte) string {
	_, value, _ := strings.Cut(string(line), "name:")
	name := key + "/" + strings.Trim(strings.TrimSpace(value), `"'`)
	return name[:min(len(name), maxSectionName)]
}

func newSection(name string, data []byte) Section {
	data = bytes.Clone(data)
	return Section{Name: name, Sum: sha256.Sum256(data), Data: data}
}

// join returns the text of the sections and its hash.
func join(sections []Section) ([]byte, Sum) {
	n := 0
	for _, s := range sections {
		n += len(s.Data)
	}
	text := make([]byte, 0, n)
	for _, s := range sections {
		text = append(text, s.Data...)
	}
	return text, sha256.Sum256(text)
}
