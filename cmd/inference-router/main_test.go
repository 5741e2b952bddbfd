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

// runCommand runs the command line and returns its exit code and what it wrote.
func runCommand(line ...string) (code int, stdout, stderr string) {
	var written, faults bytes.Buffer
	code = run(line, &written, &faults)
	return code, written.String(), faults.String()
}

func TestRun_helpOfEachCommand(t *testing.T) {
	for _, words := range [][]string{{}, {"proxy"}, {"agent"}, {"control-plane"}, {"check"}, {"demo"}, {"measure"}, {"measure", "scale"}, {"measure", "traffic"}, {"measure", "simulate"}} {
		code, stdout, stderr := runCommand(append(words, "--help")...)
		usage := strings.Join(append([]string{"Usage: inference-router"}, words...), " ")
		if code != exitOK || !strings.Contains(stdout, usage) || stderr != "" {
			t.Errorf("%v: exit %d, no %q in %q, errors %q", words, code, usage, stdout, stderr)
		}
	}
}

func TestRun_usageErrorsNameTheFault(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"nodeName":"a","ip":"nonsense"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		line []string
		says string
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
		code, _, stderr := runCommand(test.line...)
		if code != exitUsage || !strings.Contains(stderr, test.says) {
			t.Errorf("%v: exit %d, no %q in %q", test.line, code, test.says, stderr)
		}
	}
}

// validSettings are valid settings of a control plane server.
const validSettings = `{"nodeName":"core-a-1","role":"controlplane","ip":"127.0.0.1","zone":"a","listen":{"control":"127.0.0.1:8146"},
"portRange":[7660,7675],"seeds":["127.0.0.1:8146"],"dataDir":"data","limits":{"memoryMb":280,"maxFds":4096}}`

func TestCheckCommand(t *testing.T) {
	directory := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := file("settings.json", validSettings)
	document := file("configuration.json", demoConfiguration)
	cases := []struct {
		name string
		line []string
		code int
		says string
	}{
		{"both valid", []string{"--settings", valid, "--configuration", document}, exitOK, "settings: valid\nconfiguration: valid\n"},
		{"no settings", []string{"--settings", filepath.Join(directory, "none")}, exitFault, "no such file"},
		{"bad settings", []string{"--settings", file("bad.json", strings.Replace(validSettings, "127.0.0.1\"", "x\"", 1))}, exitFault, "ip:"},
		{"no configuration", []string{"--configuration", filepath.Join(directory, "none")}, exitFault, "no such file"},
		{"unknown service", []string{"--configuration", file("unknown.json", strings.Replace(demoConfiguration, `"service":"store"`, `"service":"other"`, 1))},
			exitFault, "1026 "},
		{"no JSON", []string{"--configuration", file("none.json", "{")}, exitFault, "1020 "},
	}
	for _, test := range cases {
		code, stdout, stderr := runCommand(append([]string{"check"}, test.line...)...)
		if code != test.code || !strings.Contains(stdout+stderr, test.says) {
			t.Errorf("%s: exit %d, no %q in %q", test.name, code, test.says, stdout+stderr)
		}
	}
}

// codeTableRow is a line of a table of codes.
var codeTableRow = regexp.MustCompile(`^\| \d{4} \|`)

// TestCodes_errorsPageListsEveryCode holds the page against the tables of codes, both ways.
func TestCodes_errorsPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "ERRORS.md"))
	if err != nil {
		t.Fatal(err)
	}
	var wanted []string
	row := func(code int, name string, status int, text string) {
		wanted = append(wanted, fmt.Sprintf("| %d | `%s` | %d | %s |", code, name, status, text))
	}
	for _, entry := range configuration.Codes() {
		row(int(entry.Code), entry.Name, entry.HTTPStatus, entry.Text)
	}
	for _, entry := range registry.Codes() {
		row(int(entry.Code), entry.Name, entry.HTTPStatus, entry.Text)
	}
	for _, entry := range server.Codes() {
		row(int(entry.Code), entry.Name, entry.HTTPStatus, entry.Text)
	}
	listed := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if codeTableRow.MatchString(line) {
			listed[strings.TrimSpace(line)] = true
		}
	}
	for _, line := range wanted {
		if !listed[line] {
			t.Errorf("the page has no line %s", line)
		}
		delete(listed, line)
	}
	for line := range listed {
		t.Errorf("the page lists what is no code: %s", line)
	}
}
