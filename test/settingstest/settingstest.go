// Package settingstest checks the commented example settings against the programs.
package settingstest

import (
	"os"
	"regexp"
	"testing"

	"cuminhook.org/cuminhook/lib/settings"
)

var yamlKey = regexp.MustCompile(`(?m)^ *[a-z_]+:`)

// CheckExample fails if the file at path is refused as settings into, which holds the defaults, or lacks one of its
// keys.
func CheckExample(t *testing.T, path string, into settings.Validator) {
	t.Helper()
	if err := settings.Load(path, into); err != nil {
		t.Fatal(err)
	}
	text, err := settings.Print(into)
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
