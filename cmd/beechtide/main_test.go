package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"beechtide.org/beechtide/internal/simulation/traffic"
)

// runCommand runs a command line and returns its exit status and output. It replaces the
// standard streams of the process, so tests that use it must not be parallel.
func runCommand(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	oldOut, oldErr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = oldOut, oldErr }()
	outReader, outWriter, err := os.Pipe()
	must.NoError(t, err)
	errReader, errWriter, err := os.Pipe()
	must.NoError(t, err)
	os.Stdout, os.Stderr = outWriter, errWriter
	status = run(args)
	outWriter.Close()
	errWriter.Close()
	out, err := io.ReadAll(outReader)
	must.NoError(t, err)
	errs, err := io.ReadAll(errReader)
	must.NoError(t, err)
	return status, string(out), string(errs)
}

// writeFile writes a file to a temporary folder of the test and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(content), 0o644))
	return path
}

func TestWrongUseReturnsStatusTwoAndOneLine(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"},
		{"router", "-x"},
		{"controller", "-config"},
		{"check"},
		{"check", "a", "b"},
		{"doctor", "x"},
		{"doctor", "-y"},
		{"metrics", "-z"},
		{"audit"},
		{"audit", "-c"},
		{"simulate", "x"},
		{"simulate", "-model", "nonsense"},
		{"standin"},
		{"load", "-c", "x"},
		{"traffic", "x"},
		{"traffic", "-routers", "0"},
		{"traffic", "-rate", "NaN"},
		{"traffic", "-duration", "0"},
		{"soak", "x"},
		{"soak", "-runners", "0"},
	} {
		status, stdout, stderr := runCommand(t, args...)
		must.Eq(t, 2, status, must.Sprint(args))
		must.Eq(t, "", stdout)
		must.Eq(t, 1, strings.Count(stderr, "\n"), must.Sprint(args, stderr))
	}
}

func TestEachSubcommandHasHelp(t *testing.T) {
	for _, name := range []string{"router", "controller", "check", "rollout", "doctor", "metrics", "audit", "simulate", "standin", "load", "soak"} {
		status, stdout, stderr := runCommand(t, name, "-h")
		must.Eq(t, 0, status, must.Sprint(name))
		must.StrContains(t, stdout, "usage: beechtide "+name)
		must.Eq(t, "", stderr)
	}
	status, stdout, _ := runCommand(t, "-h")
	must.Eq(t, 0, status)
	must.StrContains(t, stdout, "doctor")
}

func TestInvalidSettingsAreReportedOnOneLine(t *testing.T) {
	path := writeFile(t, "local.yaml", "node: x\n")
	status, _, stderr := runCommand(t, "router", "-config", path)
	must.Eq(t, 1, status)
	must.Eq(t, 1, strings.Count(stderr, "\n"))
	must.StrContains(t, stderr, "Settings.")
	status, stdout, _ := runCommand(t, "doctor", "-config", path, "-json")
	must.Eq(t, 3, status)
	must.StrContains(t, stdout, `"severity":"fault"`)
}

func TestCheckNamesFieldAndReason(t *testing.T) {
	path := writeFile(t, "c.json", `{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","cutoffMs":5,"service":"none"}],"services":[]}`)
	status, _, stderr := runCommand(t, "check", path)
	must.Eq(t, 1, status)
	must.StrContains(t, stderr, "routes[0].service")
	must.StrContains(t, stderr, "unknown service")
}

func TestAuditStatusIsOneOnViolations(t *testing.T) {
	config := writeFile(t, "config.json", `{"version":1,"routes":[],"services":[]}`)
	const asked, answered = `{"step":"asked","attempt":"1","version":1}`, `{"step":"answered","attempt":"1","version":1}`
	for _, c := range []struct {
		name   string
		trail  string
		status int
		stdout string
		stderr string
	}{
		{"correct trail", asked + "\n" + answered + "\n", 0, "2 entries, 0 violations\n", ""},
		{"missing end", asked + "\n", 1, "its end is missing", ""},
		{"invalid line", asked + "\nnot JSON\n", 1, "", "line 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, stdout, stderr := runCommand(t, "audit", "-c", config, writeFile(t, "trail", c.trail))
			must.Eq(t, c.status, status, must.Sprint(stdout, stderr))
			must.StrContains(t, stdout, c.stdout)
			must.StrContains(t, stderr, c.stderr)
		})
	}
}

func TestSimulatePrintsCounts(t *testing.T) {
	status, stdout, stderr := runCommand(t, "simulate", "-seeds", "2")
	must.Eq(t, 0, status, must.Sprint(stdout, stderr))
	must.StrContains(t, stdout, "0 broke a check")
}

func TestTrafficPrintsFiguresAsJSON(t *testing.T) {
	args := []string{"traffic", "-json", "-routers", "4", "-runners", "6", "-rate", "20", "-duration", "1s"}
	status, stdout, stderr := runCommand(t, args...)
	must.Eq(t, statusOK, status)
	must.Eq(t, "", stderr)
	var figures traffic.Figures
	must.NoError(t, json.Unmarshal([]byte(stdout), &figures))
	must.Len(t, 2, figures.Classes)
	must.Positive(t, figures.Classes[0].Sent+figures.Classes[1].Sent)
	_, again, _ := runCommand(t, args...)
	must.Eq(t, stdout, again)
}
