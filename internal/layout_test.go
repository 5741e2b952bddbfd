// Package internal contains only a test, which checks the import rules between the parts of the repository.
package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "ospreybend/"

// layoutRule states that packages below folder may import, from this module, only packages below one of imports.
type layoutRule struct {
	folder  string
	imports []string
}

// layoutRules must match the table in docs/design/layout.md.
var layoutRules = []layoutRule{
	{"coord", []string{"coord"}},
	{"internal/util", []string{"internal/util"}},
	{"internal/controlplane", []string{"coord", "internal/util", "internal/controlplane"}},
	{"internal/dataplane", []string{
		"coord", "internal/util", "internal/dataplane",
		"internal/controlplane/configuration", "internal/controlplane/registry",
		"internal/controlplane/roleplanner", "internal/controlplane/feedtransport",
	}},
	{"balance", []string{"internal/util"}},
	{"drmaa", []string{"drmaa"}},
	{"internal/node", []string{"coord", "internal/util", "internal/node", "balance", "drmaa"}},
	{"internal/testkit", []string{"coord", "internal", "balance", "drmaa"}},
}

// TestLayout_importsFollowTheRules fails for each import in non-test code that layoutRules does not allow.
func TestLayout_importsFollowTheRules(t *testing.T) {
	for _, rule := range layoutRules {
		t.Run(rule.folder, func(t *testing.T) {
			checked := 0
			for _, file := range goFiles(t, filepath.Join("..", filepath.FromSlash(rule.folder))) {
				for _, imported := range moduleImports(t, file) {
					checked++
					if !allowed(rule, imported) {
						t.Errorf("%s imports %s, which is not allowed below %s", file, imported, rule.folder)
					}
				}
			}
			if checked == 0 && rule.folder != "internal/util" {
				t.Errorf("no imports from this module found below %s: has the folder been moved or emptied?", rule.folder)
			}
		})
	}
}

// TestLayout_everyPackageHasARule fails for each package in internal that no rule covers.
func TestLayout_everyPackageHasARule(t *testing.T) {
	for _, file := range goFiles(t, ".") {
		folder := "internal/" + filepath.ToSlash(filepath.Dir(file))
		covered := false
		for _, rule := range layoutRules {
			covered = covered || below(folder, rule.folder)
		}
		if !covered {
			t.Errorf("%s is not covered by layoutRules and docs/design/layout.md", folder)
		}
	}
}

// goFiles returns the non-test Go files below root.
func goFiles(t *testing.T, root string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == "testdata" {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// moduleImports returns the packages of this module that a file imports, as paths relative to the module root.
func moduleImports(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var imports []string
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if relative, ok := strings.CutPrefix(path, modulePrefix); ok {
			imports = append(imports, relative)
		}
	}
	return imports
}

// allowed reports whether the rule allows its folder to import the package.
func allowed(rule layoutRule, imported string) bool {
	for _, folder := range rule.imports {
		if below(imported, folder) {
			return true
		}
	}
	return false
}

// below reports whether a path is the folder or lies below it.
func below(path, folder string) bool {
	return path == folder || strings.HasPrefix(path, folder+"/")
}
