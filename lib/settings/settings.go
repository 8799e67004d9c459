// Package settings loads and prints the YAML settings of a program.
package settings

import (
	"bytes"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
)

// Validator is implemented by settings that can check their values. Errors name the key and the remedy.
type Validator interface{ Validate() error }

// Load decodes the file at path into into, which holds the defaults, and validates the result. Errors about unknown
// keys and wrong types name the file, line and column.
func Load(path string, into Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: cannot read %s: %w; pass an existing file with --config", path, err)
	}
	return Parse(path, data, into)
}

// Parse is like Load for the contents data of the file; path is used in errors only.
func Parse(path string, data []byte, into Validator) error {
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := dec.Decode(into); err != nil && len(bytes.TrimSpace(data)) > 0 {
		if where := describeInvalidDuration(data, err); where != "" {
			return fmt.Errorf("settings: %s: %s", path, where)
		}
		return fmt.Errorf("settings: %s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := into.Validate(); err != nil {
		return fmt.Errorf("settings: %s: %w", path, err)
	}
	return nil
}

// Format returns the settings as YAML, including values that weren't set in a file.
func Format(s any) (string, error) {
	out, err := yaml.Marshal(s)
	return string(out), err
}
