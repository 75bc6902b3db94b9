package main

import "testing"

// Guards against an invalid deployment in the program that the configuration page shows.
func TestDeploymentIsValid(t *testing.T) {
	if _, err := deployment().YAML(); err != nil {
		t.Error(err)
	}
}
