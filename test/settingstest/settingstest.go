// Package settingstest checks the commented example settings against the settings that programs accept.
package settingstest

import (
	"os"
	"regexp"
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
)

var yamlKey = regexp.MustCompile(`(?m)^ *[a-z_]+:`)

// CheckExample loads the file at path over the defaults in into. It fails the test if the file is rejected or lacks a
// key of the settings.
func CheckExample(t *testing.T, path string, into settings.Validator) {
	t.Helper()
	if err := settings.Load(path, into); err != nil {
		t.Fatal(err)
	}
	text, err := settings.Format(into)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	inExample := map[string]bool{}
	for _, key := range yamlKey.FindAllString(string(data), -1) {
		inExample[key] = true
	}
	keys := yamlKey.FindAllString(text, -1)
	if len(keys) == 0 {
		t.Fatal("no key in the printed settings")
	}
	for _, key := range keys {
		if !inExample[key] {
			t.Errorf("%s lacks %s", path, key)
		}
	}
}
