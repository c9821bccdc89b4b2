package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// say runs the command line and gives its status and what it wrote.
func say(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	oldOut, oldErr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = oldOut, oldErr }()
	outR, outW, err := os.Pipe()
	must.NoError(t, err)
	errR, errW, err := os.Pipe()
	must.NoError(t, err)
	os.Stdout, os.Stderr = outW, errW
	status = run(args)
	outW.Close()
	errW.Close()
	a, _ := io.ReadAll(outR)
	b, _ := io.ReadAll(errR)
	return status, string(a), string(b)
}

func TestWrongUseEndsWithTwoAndOneLine(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"}, {"router", "-x"}, {"controller", "-config"}, {"check"}, {"check", "a", "b"}, {"doctor", "x"}, {"doctor", "-y"}, {"audit"}, {"audit", "-c"},
	} {
		status, out, err := say(t, args...)
		must.Eq(t, 2, status, must.Sprint(args))
		must.Eq(t, "", out)
		must.Eq(t, 1, strings.Count(err, "\n"), must.Sprint(args, err))
	}
}

func TestEachSubcommandHasHelp(t *testing.T) {
	for _, name := range []string{"router", "controller", "check", "doctor", "audit"} {
		status, out, err := say(t, name, "-h")
		must.Eq(t, 0, status, must.Sprint(name))
		must.StrContains(t, out, "usage: beechtide "+name)
		must.Eq(t, "", err)
	}
	status, out, _ := say(t, "-h")
	must.Eq(t, 0, status)
	must.StrContains(t, out, "doctor")
}

func TestSenselessSettingsEndTheStartWithOneLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.yaml")
	must.NoError(t, os.WriteFile(path, []byte("node: x\n"), 0o644))
	status, _, err := say(t, "router", "-config", path)
	must.Eq(t, 1, status)
	must.Eq(t, 1, strings.Count(err, "\n"))
	must.StrContains(t, err, "Settings.")
	status, out, _ := say(t, "doctor", "-config", path, "-json")
	must.Eq(t, 3, status)
	must.StrContains(t, out, `"severity":"fault"`)
}

func TestCheckNamesFieldAndReason(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","cutoffMs":5,"service":"none"}],"services":[]}`), 0o644))
	status, _, err := say(t, "check", path)
	must.Eq(t, 1, status)
	must.StrContains(t, err, "routes[0].service")
	must.StrContains(t, err, "unknown service")
}
