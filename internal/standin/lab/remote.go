package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"otterstep/internal/control"
)

// commandSocket is the socket, in the lab's directory, on which a lab accepts commands for its boxes.
const commandSocket = "lab.sock"

// Serve accepts commands on a socket in the lab's directory until ctx ends.
func (l *Lab) Serve(ctx context.Context) error {
	listener, err := control.Listen(filepath.Join(l.opt.Dir, commandSocket))
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /box", func(w http.ResponseWriter, r *http.Request) {
		words, err := io.ReadAll(io.LimitReader(r.Body, 1<<10))
		if err == nil {
			err = l.Command(strings.Fields(string(words)))
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		var b bytes.Buffer
		for _, box := range l.Boxes {
			fmt.Fprintf(&b, "%s %s\n", box.UID(), box.State())
		}
		l.PrintReport(&b)
		_, _ = w.Write(b.Bytes())
	})
	s := &http.Server{Handler: mux, ReadTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

// Command executes a box command: the box's uid, the name of the command and, for slow and fail, a number.
func (l *Lab) Command(words []string) error {
	usage := fmt.Errorf("lab: usage: BOX followed by one of hang, slow TIMES, fail SHARE, heal, drain, leave, crash, return")
	if len(words) < 2 {
		return usage
	}
	b, err := l.Box(words[0])
	if err != nil {
		return err
	}
	number := 0.0
	wantsNumber := words[1] == "slow" || words[1] == "fail"
	if wantsNumber != (len(words) == 3) {
		return usage
	}
	if wantsNumber {
		if number, err = strconv.ParseFloat(words[2], 64); err != nil || !(number >= 0 && number <= 1000) {
			return fmt.Errorf("lab: %q is not a number from 0 to 1000", words[2])
		}
	}
	switch words[1] {
	case "hang":
		b.Hang(true)
	case "slow":
		b.Slow(number)
	case "fail":
		b.FailFast(number)
	case "heal":
		b.Heal()
	case "drain":
		b.Drain()
	case "leave":
		b.Leave()
	case "crash":
		b.Crash()
	case "return":
		return b.Return()
	default:
		return usage
	}
	return nil
}

// SendCommand sends a box command to the lab that runs in a directory. Without words it returns the lab's status.
func SendCommand(ctx context.Context, dir string, words []string) (string, error) {
	t := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", filepath.Join(dir, commandSocket))
	}}
	method, url := http.MethodGet, "http://lab/status"
	if len(words) > 0 {
		method, url = http.MethodPost, "http://lab/box"
	}
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(strings.Join(words, " ")))
	if err != nil {
		return "", err
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return "", fmt.Errorf("no lab is running in %s: %w", dir, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s", strings.TrimSpace(string(text)))
	}
	return string(text), nil
}
