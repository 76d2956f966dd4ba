package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"otterstep/internal/tomlfile"
)

// The file that is handed out switches nothing on.
func TestHandedOutFileSwitchesNothingOn(t *testing.T) {
	for _, path := range []string{"", "../../deploy/operator.toml"} {
		if f, err := Load(path); err != nil || !reflect.DeepEqual(f, File{}) {
			t.Errorf("%q: %+v, %v", path, f, err)
		}
	}
}

// Its commented lines are keys that there are; the files that those of SIP name are not.
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
	var f File
	if err := tomlfile.Parse("operator.toml", []byte(strings.Join(on, "")), &f).Err(); err != nil {
		t.Fatal(err)
	}
	if f.Control.Socket == "" || !f.Drain.TellUp || !f.SIP.On() || f.SIP.Limits.Message.Bytes != 16<<10 || f.SIP.Class.Other.Aim.Duration == 0 {
		t.Errorf("%+v", f)
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
