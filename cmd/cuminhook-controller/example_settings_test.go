package main

import (
	"testing"

	"cuminhook.org/cuminhook/test/settingstest"
)

// Guards against an example that the program refuses, or that lacks a key which the program has.
func TestExampleSettings(t *testing.T) {
	s := defaults()
	settingstest.CheckExample(t, "../../examples/settings/controller.yaml", s)
}
