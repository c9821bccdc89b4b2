package settings

import "github.com/pkg/errors"

// ErrSettings is what errors.Is finds in every error of Load and Parse.
var ErrSettings = errors.New("settings")

// settingsError is an ErrSettings that keeps its cause.
type settingsError struct{ cause error }

func newError(cause error) error { return &settingsError{cause} }

func (s *settingsError) Error() string { return s.cause.Error() + ": " + ErrSettings.Error() }

// Is makes the error an ErrSettings.
func (s *settingsError) Is(target error) bool { return target == ErrSettings }

func (s *settingsError) Unwrap() error { return s.cause }
