package examples

import (
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Guards against published YAML files that differ from the output of the code or that
// instances reject.
func TestYAMLFilesMatchCode(t *testing.T) {
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

// Guards against example settings that a daemon rejects; the README starts one with them.
func TestSettingsAreAccepted(t *testing.T) {
	s, err := settings.Load("entry-1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(Regie().FailureDomains, s.FailureDomain) {
		t.Errorf("the configuration does not declare the failure domain %s", s.FailureDomain)
	}
}
