// Package mutant builds a program with parts of its source replaced, so that a test can be
// shown to fail without the code it guards. The source tree is not changed: the replaced
// files are passed to the compiler as an overlay (go help build, -overlay).
package mutant

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Change replaces one text in a source file by another.
type Change struct {
	File     string // relative to the module's root
	Old, New string // Old must occur exactly once in the file
}

// Build applies the changes, builds a program into dir and returns the binary's path. The program is
// named by its package directory relative to the module's root.
func Build(dir, program string, changes ...Change) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("mutant: %w", err)
	}
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	texts := map[string]string{}
	for _, c := range changes {
		path := filepath.Join(root, c.File)
		text, ok := texts[path]
		if !ok {
			b, err := os.ReadFile(path)
			if err != nil {
				return "", fmt.Errorf("mutant: %w", err)
			}
			text = string(b)
		}
		if n := strings.Count(text, c.Old); n != 1 {
			return "", fmt.Errorf("mutant: %s contains %d occurrences of %q, want exactly 1", c.File, n, c.Old)
		}
		texts[path] = strings.Replace(text, c.Old, c.New, 1)
	}
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for path, text := range texts {
		at := filepath.Join(dir, fmt.Sprintf("mutant%d.go", len(overlay.Replace)))
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			return "", fmt.Errorf("mutant: %w", err)
		}
		overlay.Replace[path] = at
	}
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", fmt.Errorf("mutant: %w", err)
	}
	file, bin := filepath.Join(dir, "overlay.json"), filepath.Join(dir, filepath.Base(program))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", fmt.Errorf("mutant: %w", err)
	}
	cmd := exec.Command("go", "build", "-overlay", file, "-o", bin, "./"+program)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("mutant: %w: %s", err, out)
	}
	return bin, nil
}
