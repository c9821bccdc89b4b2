// Package settings reads and validates the settings file of a process.
//
// The type Settings is generated from api/settings.yaml. This package adds
// reading, validation and defaults, and derives addresses from the settings.
// Settings are values: the result of Load is valid and complete, and later
// changes of the file do not affect it. The package has no state and starts no
// goroutine.
package settings

import (
	"encoding/json"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// EnvPath names the environment variable that holds the path of the settings
// file.
const EnvPath = "BEECHTIDE_CONFIG"

// DefaultPath is the path of the settings file where EnvPath is not set.
const DefaultPath = "/etc/beechtide/local.yaml"

var validate = validator.New(validator.WithRequiredStructEnabled())

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(EnvPath); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and validates the file at path. Errors match ErrSettings.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, newError(err)
	}
	return Parse(raw)
}

// Parse decodes settings from YAML, validates them and sets defaults. Unknown
// fields are ignored. Errors match ErrSettings and name the first field that is
// missing or not valid.
func Parse(raw []byte) (Settings, error) {
	s, err := decode(raw)
	if err != nil {
		return Settings{}, newError(err)
	}
	if err := s.check(); err != nil {
		return Settings{}, newError(err)
	}
	s.setDefaults()
	return s, nil
}

// decode converts the YAML to JSON first, since the generated type has only JSON tags.
func decode(raw []byte) (Settings, error) {
	var fields map[string]any
	if err := yaml.Unmarshal(raw, &fields); err != nil {
		return Settings{}, err
	}
	asJSON, err := json.Marshal(fields)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	err = json.Unmarshal(asJSON, &s)
	return s, err
}

func (s *Settings) check() error {
	if err := validate.Struct(s); err != nil {
		return describe(err)
	}
	if s.Ports[1] < s.Ports[0]+1 {
		return errors.New("field Settings.portRange: needs two ports")
	}
	return nil
}

// describe returns a one-line error that names the first invalid field of a validation error.
func describe(err error) error {
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) || len(invalid) == 0 {
		return err
	}
	field := invalid[0]
	return errors.Errorf("field %s: %v does not satisfy %s %s", field.Namespace(), field.Value(), field.Tag(), field.Param())
}

// Defaults of the settings that may be omitted or be 0.
const (
	defaultHeartbeatMs = 1000
	defaultLeaseMs     = 3000
	defaultVersionMs   = 8000
	defaultDrainMs     = 2000
	defaultGraceS      = 8
	defaultRetryS      = 10
)

func (s *Settings) setDefaults() {
	setDefault(&s.BeatPeriodMs, defaultHeartbeatMs)
	setDefault(&s.Bounds.LeaseMs, defaultLeaseMs)
	setDefault(&s.Bounds.VersionMs, defaultVersionMs)
	setDefault(&s.Bounds.DrainMs, defaultDrainMs)
	setDefault(&s.Bounds.GraceS, defaultGraceS)
	setDefault(&s.Bounds.RetryWindowS, defaultRetryS)
}

func setDefault[T int | float64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
