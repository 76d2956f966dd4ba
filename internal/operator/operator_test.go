package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The file that is handed out switches nothing on.
func TestHandedOutFileSwitchesNothingOn(t *testing.T) {
	for _, path := range []string{"", "../../deploy/operator.toml"} {
		if f, err := Load(path); err != nil || f != (File{}) {
			t.Errorf("%q: %+v, %v", path, f, err)
		}
	}
}

// Its commented lines are keys that there are.
func TestCommentedKeysAreTaken(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	var on []string
	for line := range strings.Lines(string(text)) {
		rest, commented := strings.CutPrefix(line, "# ")
		if commented && (strings.HasPrefix(rest, "[") || strings.Contains(rest, " = ")) {
			on = append(on, rest)
		}
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(strings.Join(on, "")), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || f.Control.Socket == "" || !f.Drain.TellUp {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestLongSocketPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte("[control]\nsocket = \"/"+strings.Repeat("x", socketPathMost)+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), ":2: control.socket") {
		t.Errorf("%v", err)
	}
}
