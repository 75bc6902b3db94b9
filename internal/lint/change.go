package lint

// Change is one difference between two configurations.
type Change struct {
	// Path is the section and the path of the field in it.
	Path string `json:"path"`
	// Before is empty if the element was added.
	Before string `json:"before,omitempty"`
	// After is empty if the element was removed.
	After string `json:"after,omitempty"`
}

// String formats the change on one line with the path and both values.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.Path + ": " + c.After
	case c.After == "":
		return "- " + c.Path + ": " + c.Before
	}
	return "~ " + c.Path + ": " + c.Before + " -> " + c.After
}
