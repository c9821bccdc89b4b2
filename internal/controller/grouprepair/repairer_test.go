package grouprepair

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{Addr: "a:1"})
	must.ErrorIs(t, err, ErrConfig)
}
