package instance

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"otterstep/internal/standin/sipua"
)

func TestLogsAreTrimmed(t *testing.T) {
	r := NewProcesses(t.TempDir(), nil)
	i := Spec{Name: "a"}
	if err := r.Trim(i); err != nil {
		t.Errorf("without a log file: %v", err)
	}
	if err := os.WriteFile(r.logFile(i), make([]byte, maxLogSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := r.Trim(i); err != nil {
			t.Fatal(err)
		}
	}
	now, err1 := os.Stat(r.logFile(i))
	old, err2 := os.Stat(r.logFile(i) + ".old")
	if err1 != nil || err2 != nil || now.Size() != 0 || old.Size() != maxLogSize+1 {
		t.Errorf("%v, %v: %v and %v", err1, err2, now, old)
	}
}

// An instance with a SIP address is up only if it also answers there.
func TestUpChecksSIP(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer up.Close()
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	server, err := sipua.NewServer(sipua.Options{Transport: "udp", T1: 50 * time.Millisecond}, sipua.RingAndAnswer)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	r := NewProcesses(t.TempDir(), nil)
	for sip, want := range map[string]bool{"": true, "udp:" + server.Addr(): true, "udp:" + silent.LocalAddr().String(): false, "tcp:127.0.0.1:1": false} {
		if got := r.Up(t.Context(), Spec{Listen: up.Listener.Addr().String(), SIP: sip}); got != want {
			t.Errorf("SIP address %q: up is %v, want %v", sip, got, want)
		}
	}
}
