package campaign

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Errors returned by Build.
var (
	ErrToolchain = errors.New("the Go toolchain is needed to build the simulation's test binary, and `go` is not found")
	ErrSources   = errors.New("the sources are needed to build the simulation's test binary: run the command inside the repository")
)

const (
	modulePath     = "ospreybend"
	simulationPath = "./internal/testkit/controlplanesim"
	binaryName     = "controlsim.test"
)

// Build builds the simulation's test binary into the directory. The working directory must be within this module's sources.
func Build(ctx context.Context, directory string) (binary string, err error) {
	if _, err := exec.LookPath("go"); err != nil {
		return "", ErrToolchain
	}
	root, err := moduleRoot(ctx)
	if err != nil {
		return "", err
	}
	binary = filepath.Join(directory, binaryName)
	command := exec.CommandContext(ctx, "go", "test", "-c", "-o", binary, simulationPath)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the simulation: %w\n%s", err, output)
	}
	return binary, nil
}

// moduleRoot returns the root directory of this module's sources.
func moduleRoot(ctx context.Context) (string, error) {
	output, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Path}} {{.Dir}}").Output()
	if err != nil {
		return "", ErrSources
	}
	path, root, _ := strings.Cut(strings.TrimSpace(string(output)), " ")
	if path != modulePath || root == "" {
		return "", ErrSources
	}
	return root, nil
}
