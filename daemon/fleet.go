package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"cuminstair.org/cuminstair"
)

// ReadFleet reads a fleet file, for a daemon without a platform.
func ReadFleet(path string) (*cuminstair.Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read fleet file: %w", err)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("parse fleet file %s: %w", path, err)
	}
	f := &cuminstair.Fleet{}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		return nil, fmt.Errorf("parse fleet file %s: %w", path, err)
	}
	return f, nil
}
