package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/controlplane/server"
)

// runCommand runs the program with the arguments and returns its exit code and output.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var outBuffer, errBuffer bytes.Buffer
	code = run(args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

func TestRun_helpOfEachCommand(t *testing.T) {
	for _, command := range [][]string{{}, {"proxy"}, {"agent"}, {"control-plane"}, {"check"}, {"demo"}, {"measure"}, {"measure", "scale"}, {"measure", "traffic"}, {"measure", "simulate"}} {
		code, stdout, stderr := runCommand(append(command, "--help")...)
		usage := strings.Join(append([]string{"Usage: inference-router"}, command...), " ")
		if code != exitOK || !strings.Contains(stdout, usage) || stderr != "" {
			t.Errorf("%v --help: exit code %d, stdout %q, stderr %q; want code %d, stdout with %q and empty stderr", command, code, stdout, stderr, exitOK, usage)
		}
	}
}

func TestRun_usageErrorsNameTheCause(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"nodeName":"a","ip":"nonsense"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args []string
		want string
	}{
		{[]string{}, "Usage: inference-router"},
		{[]string{"measure"}, "Usage: inference-router measure"},
		{[]string{"nonsense"}, "nonsense"},
		{[]string{"control-plane", "--nonsense"}, "--nonsense"},
		{[]string{"control-plane", "--settings", filepath.Join(t.TempDir(), "none.json")}, "no such file"},
		{[]string{"proxy", "--settings", bad}, "ip:"},
		{[]string{"check"}, "--settings or --configuration"},
		{[]string{"measure", "scale", "--sizes", "many"}, "NODESxWORKERS"},
		{[]string{"measure", "scale", "--windows", "0"}, "windows must be positive"},
		{[]string{"measure", "traffic", "--rates", "many"}, "REQUESTSxTOKENS"},
		{[]string{"measure", "traffic", "--windows", "0"}, "windows must be positive"},
		{[]string{"measure", "scale", "--far-loss", "1"}, "far-loss"},
		{[]string{"measure", "simulate", "--servers", "three"}, "joined by commas"},
		{[]string{"measure", "simulate", "--schedules", "0"}, "must be positive"},
	}
	for _, test := range cases {
		code, _, stderr := runCommand(test.args...)
		if code != exitUsage || !strings.Contains(stderr, test.want) {
			t.Errorf("%v: exit code %d, stderr %q; want code %d and stderr with %q", test.args, code, stderr, exitUsage, test.want)
		}
	}
}

// validSettings is a valid settings file of a control plane server.
const validSettings = `{"nodeName":"core-a-1","role":"controlplane","ip":"127.0.0.1","zone":"a","listen":{"control":"127.0.0.1:8146"},
"portRange":[7660,7675],"seeds":["127.0.0.1:8146"],"dataDir":"data","limits":{"memoryMb":280,"maxFds":4096}}`

func TestCheckCommand(t *testing.T) {
	directory := t.TempDir()
	tempFile := func(name, content string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settingsFile := tempFile("settings.json", validSettings)
	configurationFile := tempFile("configuration.json", demoConfiguration)
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"both valid", []string{"--settings", settingsFile, "--configuration", configurationFile}, exitOK, "settings: valid\nconfiguration: valid\n"},
		{"missing settings file", []string{"--settings", filepath.Join(directory, "none")}, exitFailure, "no such file"},
		{"invalid IP address in settings", []string{"--settings", tempFile("bad.json", strings.Replace(validSettings, "127.0.0.1\"", "x\"", 1))}, exitFailure, "ip:"},
		{"missing configuration file", []string{"--configuration", filepath.Join(directory, "none")}, exitFailure, "no such file"},
		{"unknown service", []string{"--configuration", tempFile("unknown.json", strings.Replace(demoConfiguration, `"service":"store"`, `"service":"other"`, 1))},
			exitFailure, "1026 "},
		{"configuration is not JSON", []string{"--configuration", tempFile("none.json", "{")}, exitFailure, "1020 "},
	}
	for _, test := range cases {
		code, stdout, stderr := runCommand(append([]string{"check"}, test.args...)...)
		if code != test.code || !strings.Contains(stdout+stderr, test.want) {
			t.Errorf("%s: exit code %d, output %q; want code %d and output with %q", test.name, code, stdout+stderr, test.code, test.want)
		}
	}
}

// codeTableRow matches a row of a table of codes in docs/ERRORS.md, which begins with a four-digit code.
var codeTableRow = regexp.MustCompile(`^\| \d{4} \|`)

// TestCodes_errorsPageListsEveryCode compares the rows of docs/ERRORS.md with the codes that the program defines: each must have
// the other.
func TestCodes_errorsPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "ERRORS.md"))
	if err != nil {
		t.Fatal(err)
	}
	var wantRows []string
	addRow := func(code int, name string, status int, text string) {
		wantRows = append(wantRows, fmt.Sprintf("| %d | `%s` | %d | %s |", code, name, status, text))
	}
	for _, entry := range configuration.Codes() {
		addRow(int(entry.Code), entry.Name, entry.HTTPStatus, entry.Text)
	}
	for _, entry := range registry.Codes() {
		addRow(int(entry.Code), entry.Name, entry.HTTPStatus, entry.Text)
	}
	for _, entry := range server.Codes() {
		addRow(int(entry.Code), entry.Name, entry.HTTPStatus, entry.Text)
	}
	pageRows := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if codeTableRow.MatchString(line) {
			pageRows[strings.TrimSpace(line)] = true
		}
	}
	for _, line := range wantRows {
		if !pageRows[line] {
			t.Errorf("docs/ERRORS.md lacks the row of a defined code: %s", line)
		}
		delete(pageRows, line)
	}
	for line := range pageRows {
		t.Errorf("docs/ERRORS.md has a row that matches no defined code: %s", line)
	}
}
