package examples

import (
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
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

// The README starts a daemon with these settings.
func TestSettingsAreAccepted(t *testing.T) {
	s, err := settings.Load("entry-1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(Regie().FailureDomains, s.FailureDomain) {
		t.Errorf("failure domain %s is not one of the configuration", s.FailureDomain)
	}
}
