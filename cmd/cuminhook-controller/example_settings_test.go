package main

import (
	"os"
	"regexp"
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
)

var yamlKey = regexp.MustCompile(`(?m)^ *[a-z_]+:`)

// Guards against an example that the program refuses, or that lacks a key which the program has.
func TestExampleSettings(t *testing.T) {
	const path = "../../examples/settings/controller.yaml"
	s := defaults()
	if err := settings.Load(path, s); err != nil {
		t.Fatal(err)
	}
	text, err := settings.Print(s)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, key := range yamlKey.FindAllString(string(data), -1) {
		listed[key] = true
	}
	keys := yamlKey.FindAllString(text, -1)
	if len(keys) == 0 {
		t.Fatal("no key in the printed settings")
	}
	for _, key := range keys {
		if !listed[key] {
			t.Errorf("%s lacks %s", path, key)
		}
	}
}
