package simulation

import (
	"os"
	"testing"

	"beechtide.org/beechtide/internal/invariant/invarianttest"
)

func TestMain(m *testing.M) { os.Exit(invarianttest.Main(m)) }
