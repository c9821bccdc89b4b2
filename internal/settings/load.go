// Package settings reads the settings file of a process and checks it. The type
// Settings is generated from api/settings.yaml; this file adds reading, checks
// and the few values that follow from the settings, such as inner addresses.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// EnvPath names the variable that holds the path of the settings file.
const EnvPath = "BEECHTIDE_CONFIG"

// DefaultPath is read where the variable is not set.
const DefaultPath = "/etc/beechtide/local.yaml"

// ErrSettings is the cause of every error that Load returns.
var ErrSettings = errors.New("settings")

var check = validator.New(validator.WithRequiredStructEnabled())

// Path tells where the settings file lies.
func Path() string {
	if p := os.Getenv(EnvPath); p != "" {
		return p
	}
	return DefaultPath
}

// Load reads the file at path.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	return Parse(raw)
}

// Parse reads settings from YAML. Unknown fields are ignored; a field that is
// missing or makes no sense is named in the error.
func Parse(raw []byte) (Settings, error) {
	var loose map[string]any
	if err := yaml.Unmarshal(raw, &loose); err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	asJSON, err := json.Marshal(loose)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	var s Settings
	if err := json.Unmarshal(asJSON, &s); err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	if err := check.Struct(s); err != nil {
		var faults validator.ValidationErrors
		if errors.As(err, &faults) && len(faults) > 0 {
			f := faults[0]
			return Settings{}, errors.Wrap(ErrSettings, fmt.Sprintf("field %s: %v does not satisfy %s %s", f.Namespace(), f.Value(), f.Tag(), f.Param()))
		}
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	if s.Ports[1] < s.Ports[0]+1 {
		return Settings{}, errors.Wrap(ErrSettings, "field Settings.portRange: needs two ports")
	}
	s.fill()
	return s, nil
}

func (s *Settings) fill() {
	b := &s.Bounds
	orInt(&s.BeatPeriodMs, 1000)
	orInt(&b.LeaseMs, 3000)
	orInt(&b.VersionMs, 8000)
	orInt(&b.DrainMs, 2000)
	if b.GraceS <= 0 {
		b.GraceS = 8
	}
	if b.RetryWindowS <= 0 {
		b.RetryWindowS = 10
	}
}

func orInt(at *int, fallback int) {
	if *at <= 0 {
		*at = fallback
	}
}

// RouterAddr is where the router of this machine listens to other nodes.
func (s Settings) RouterAddr() string { return fmt.Sprintf("%s:%d", s.Ip, s.Ports[0]) }

// ControllerAddr is where the controller of this machine listens to other nodes.
func (s Settings) ControllerAddr() string { return s.DispatchAt(s.Ip) }

// DispatchAt is where the controller of another machine listens.
func (s Settings) DispatchAt(ip string) string { return fmt.Sprintf("%s:%d", ip, s.Ports[0]+1) }

// SeedAddrs are the inner addresses of the controllers named as seeds.
func (s Settings) SeedAddrs() []string {
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			out = append(out, s.DispatchAt(host))
		}
	}
	return out
}
