package main

import "testing"

// The page on the configuration shows this program, so it must print.
func TestDeploymentIsValid(t *testing.T) {
	if _, err := deployment().YAML(); err != nil {
		t.Error(err)
	}
}
