package main

import (
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/test/settingstest"
)

// Guards against an example that the program refuses, or that lacks a key which the program has.
func TestExampleSettings(t *testing.T) {
	s := defaults()
	settingstest.CheckExample(t, "../../examples/settings/controller.yaml", s)
}

// Guards against example deployments that the program refuses.
func TestExampleDeployments(t *testing.T) {
	for _, name := range []string{"trinacria", "virtasen"} {
		s := defaults()
		if err := settings.Load("../../examples/"+name+"/settings/controller.yaml", s); err != nil {
			t.Error(err)
		}
	}
}
