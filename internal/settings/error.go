package settings

import "github.com/pkg/errors"

// ErrSettings is matched by every error of Load and Parse (errors.Is).
var ErrSettings = errors.New("settings")

// settingsError matches ErrSettings and wraps its cause.
type settingsError struct{ cause error }

func newError(cause error) error { return &settingsError{cause} }

func (s *settingsError) Error() string { return s.cause.Error() + ": " + ErrSettings.Error() }

// Is reports whether target is ErrSettings.
func (s *settingsError) Is(target error) bool { return target == ErrSettings }

func (s *settingsError) Unwrap() error { return s.cause }
