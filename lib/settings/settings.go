// Package settings loads the YAML settings of a program.
package settings

import (
	"bytes"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
)

// Validator is implemented by settings that check their values. The error names the key and the remedy.
type Validator interface{ Validate() error }

// Load reads the file at path into into, which holds the defaults. Unknown keys and wrong types are
// refused with file, line and column.
func Load(path string, into Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: cannot read %s: %w; pass an existing file with --config", path, err)
	}
	return Parse(path, data, into)
}

// Parse is Load for data already read; path is used in errors.
func Parse(path string, data []byte, into Validator) error {
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := dec.Decode(into); err != nil && len(bytes.TrimSpace(data)) > 0 {
		if where := explainDuration(data, err); where != "" {
			return fmt.Errorf("settings: %s: %s", path, where)
		}
		return fmt.Errorf("settings: %s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := into.Validate(); err != nil {
		return fmt.Errorf("settings: %s: %w", path, err)
	}
	return nil
}

// Print returns the settings as YAML, defaults included.
func Print(s any) (string, error) {
	out, err := yaml.Marshal(s)
	return string(out), err
}
