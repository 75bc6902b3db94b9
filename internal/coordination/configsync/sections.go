package configsync

import (
	"bytes"
	"crypto/sha256"
	"strings"
)

const (
	// MetaSection is the name of the first section: the text before the first list item.
	MetaSection = "meta"
	// maxSectionNameBytes is the maximum length of a section name; longer ones are cut.
	maxSectionNameBytes = 100
	// maxSections limits the sections of a text; the remaining items stay in the last one.
	maxSections = 4096
)

// splitLists holds the keys of the top-level lists whose items become separate sections.
var splitLists = map[string]bool{"models": true, "services": true}

// Split splits a configuration text into sections. Joined in order they are the exact
// text, for any input: a text in an unexpected form yields fewer sections.
func Split(text []byte) []Section {
	var sections []Section
	name, start := MetaSection, 0
	endSection := func(offset int, next string) {
		if offset > start {
			sections = append(sections, newSection(name, text[start:offset]))
		}
		name, start = next, offset
	}
	key, itemIndent := "", -1
	for offset := 0; offset < len(text); {
		line := text[offset:]
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			line = line[:i+1]
		}
		trimmed := bytes.TrimLeft(line, " ")
		lineIndent := len(line) - len(trimmed)
		switch {
		case len(bytes.TrimSpace(line)) == 0 || trimmed[0] == '#':
		case lineIndent == 0 && trimmed[0] != '-':
			if splitLists[key] {
				endSection(offset, "after "+key)
			}
			key, itemIndent = string(bytes.TrimRight(trimmed, ": \r\n")), -1
		case splitLists[key] && trimmed[0] == '-' && (itemIndent < 0 || lineIndent == itemIndent) && len(sections) < maxSections:
			itemIndent = lineIndent
			endSection(offset, sectionName(key, trimmed))
		}
		offset += len(line)
	}
	endSection(len(text), "")
	return sections
}

// sectionName returns the section name of a list item, from its first line "- name: x".
func sectionName(key string, line []byte) string {
	_, value, _ := strings.Cut(string(line), "name:")
	name := key + "/" + strings.Trim(strings.TrimSpace(value), `"'`)
	return name[:min(len(name), maxSectionNameBytes)]
}

func newSection(name string, data []byte) Section {
	data = bytes.Clone(data)
	return Section{Name: name, Hash: sha256.Sum256(data), Data: data}
}

// joinSections returns the concatenated data of the sections and its hash.
func joinSections(sections []Section) ([]byte, Hash) {
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
