package instance

import (
	"os"
	"testing"
)

func TestLogsAreTrimmed(t *testing.T) {
	r := NewProcesses(t.TempDir(), nil)
	i := Spec{Name: "a"}
	if err := r.Trim(i); err != nil {
		t.Errorf("no log so far: %v", err)
	}
	if err := os.WriteFile(r.logFile(i), make([]byte, logMost+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := r.Trim(i); err != nil {
			t.Fatal(err)
		}
	}
	now, err1 := os.Stat(r.logFile(i))
	old, err2 := os.Stat(r.logFile(i) + ".old")
	if err1 != nil || err2 != nil || now.Size() != 0 || old.Size() != logMost+1 {
		t.Errorf("%v, %v: %v and %v", err1, err2, now, old)
	}
}
