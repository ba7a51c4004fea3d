package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Load reads a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings file cannot be read: %w", err)
	}
	return Parse(data)
}

// Parse decodes settings; keys that the settings do not have are an error.
func Parse(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings are not valid JSON with comments: %w", err)
	}
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
