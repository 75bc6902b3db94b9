package examples

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/yuccabridge/yuccabridge/config"
)

// The published files must be what the code prints and what instances accept.
func TestFilesEqualTheCode(t *testing.T) {
	for _, d := range []*config.Deployment{Regie(), Nilegate()} {
		text, err := d.YAML()
		if err != nil {
			t.Fatalf("%s: %v", d.Name, err)
		}
		if _, err := config.Parse(text); err != nil {
			t.Errorf("%s: %v", d.Name, err)
		}
		goldie.New(t, goldie.WithFixtureDir("."), goldie.WithNameSuffix(".yaml")).Assert(t, d.Name, text)
	}
}
