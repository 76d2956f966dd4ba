// Package control is a node's control socket: a Unix socket over which the machine's agent inspects the node,
// controls its saved state and delivers the fleet's bans, if the node accepts them.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"otterstep/internal/cordon"
	"otterstep/internal/membudget"
	"otterstep/internal/unixsock"
	"otterstep/internal/writelimit"
)

// Version is the version of the answer format; it is raised by each incompatible change.
const Version = 1

const (
	maxConnections = 8               // further ones wait in the kernel
	answerTimeout  = 2 * time.Second // of a request's body, and of what the node is asked
	writeTimeout   = 2 * time.Second // of each write of an answer
	maxAnswerSize  = 4 << 20
	maxKeepSize    = 4 << 10
	maxWordSize    = 1 << 20
)

// Server is the status of a listed server at the node.
type Server struct {
	ID       string    `json:"id"`
	Endpoint string    `json:"endpoint"`
	Breaker  string    `json:"breaker"`
	ReopenMs int64     `json:"reopen_ms,omitempty"`
	Score    float64   `json:"score"`
	InFlight int       `json:"in_flight"`
	Success  float64   `json:"success"`
	Judged   int       `json:"judged"`
	Started  time.Time `json:"started,omitzero"`
}

// Inspection is a node's answer.
type Inspection struct {
	Form        int                         `json:"form"` // the answer's Version
	Name        string                      `json:"name"`
	Version     string                      `json:"version"`
	Started     time.Time                   `json:"started"`
	State       string                      `json:"state"` // starting, ready or draining
	Listen      string                      `json:"listen"`
	Reloads     int                         `json:"reloads"`
	ReloadError string                      `json:"reload_error,omitempty"` // of the latest reload
	Servers     []Server                    `json:"servers"`
	Open        int                         `json:"open"`     // requests without their final answer
	Held        int                         `json:"held"`     // of these, queued for capacity
	Attempts    int                         `json:"attempts"` // in flight
	Clients     Clients                     `json:"clients"`
	Descriptors Descriptors                 `json:"descriptors"`
	Memory      Memory                      `json:"memory"`
	Counts      map[string]map[string]int64 `json:"counts"` // by class and outcome, since the start
	SIP         *SIP                        `json:"sip,omitempty"`
	Return      *SavedState                 `json:"return,omitempty"` // if state is saved
	Fleet       *FleetStatus                `json:"fleet,omitempty"`  // if fleet bans are accepted
	Web         []Web                       `json:"web,omitempty"`
}

// SavedState describes the state that the node saves for a restart, and the state it found at its start.
type SavedState struct {
	Heard    bool      `json:"heard"` // discovery has answered since the start
	Used     bool      `json:"used"`  // the node started with the saved servers
	Servers  int       `json:"servers"`
	Rev      int64     `json:"rev"`
	Saved    time.Time `json:"saved"`
	AgeMs    int64     `json:"age_ms"` // age of the saved state at the start
	AgeKnown bool      `json:"age_known"`
	Said     []string  `json:"said,omitempty"`    // problems with the files
	Failure  string    `json:"failure,omitempty"` // error of the latest save
	Held     bool      `json:"held,omitempty"`    // frozen: only manual cordons and fleet bans are written
	Hand     int       `json:"hand"`              // saved manual cordons and uncordons
	Doubted  int       `json:"doubted"`           // servers in use that discovery has not confirmed
}

// FleetBans is the fleet's bans as known to the machine's agent.
type FleetBans struct {
	cordon.FleetBans
	// Sure means that the agent has just confirmed that there is no later version.
	Sure bool `json:"sure"`
}

// FleetStatus is a node's view of the fleet's bans, and the manual cordons of this node.
type FleetStatus struct {
	Version uint64    `json:"version"`
	Token   uint64    `json:"token"`
	Since   time.Time `json:"since,omitzero"` // when this process received this version
	Sure    bool      `json:"sure"`
	Waits   string    `json:"waits,omitempty"` // what the node waits for before it serves
	Bans    int       `json:"bans"`
	Listed  int       `json:"listed"`            // servers in the list
	Missing []string  `json:"missing,omitempty"` // banned servers that are not in the list
	Hand    []string  `json:"by_hand,omitempty"` // servers cordoned manually at this node
}

// Errors of ApplyFleetBans and SendFleetBans. ErrOutdatedBans means that a later version or a later owner's token has
// been seen.
var (
	ErrOutdatedBans = errors.New("a later version or token has already been received")
	ErrNoFleet      = errors.New("this node accepts no fleet bans: its operator's file has no [fleet]")
)

// StateCommand is a command on the node's saved state.
type StateCommand struct {
	Do string `json:"do"` // one of the constants below
}

// The values of StateCommand.Do.
const (
	StateForget  = "forget"  // delete servers and statistics from the disk; manual cordons and fleet bans stay
	StateHold    = "hold"    // freeze the files, except for manual cordons and fleet bans
	StateRelease = "release" // undo hold
)

// Check validates the command.
func (k StateCommand) Check() error {
	switch k.Do {
	case StateForget, StateHold, StateRelease:
		return nil
	}
	return fmt.Errorf("do: %q is none of %s, %s, %s", k.Do, StateForget, StateHold, StateRelease)
}

// ErrNoSavedState means that the node does not save its state.
var ErrNoSavedState = errors.New("this node saves no state: its operator's file has no kept.file")

// Web is a front for ordinary HTTP. Counters start at zero with the process.
type Web struct {
	Name        string                      `json:"name"`
	Listen      string                      `json:"listen"`
	Streams     int64                       `json:"streams"` // answers being sent
	Tunnels     int64                       `json:"tunnels"`
	Cut         int64                       `json:"cut"`         // answers that broke off
	Gone        int64                       `json:"gone"`        // clients that disconnected before the end of the answer
	TurnedDown  int64                       `json:"turned_down"` // invalid requests
	Rules       []int64                     `json:"rules"`       // matches of each rule, then requests without a match
	Connections int                         `json:"connections"` // to servers, over HTTP/1.1
	Idle        int                         `json:"idle"`        // of these
	Kept        int64                       `json:"kept"`        // bytes of bodies buffered for further attempts
	Open        int                         `json:"open"`        // requests without their final answer
	Held        int                         `json:"held"`
	Servers     []Server                    `json:"servers"`
	Counts      map[string]map[string]int64 `json:"counts"`
}

// SIP is the SIP front. Counters start at zero with the process.
type SIP struct {
	Listen       map[string]string           `json:"listen"`       // by transport
	Transactions map[string]int              `json:"transactions"` // server transactions (callers), open and lingering, by state
	Attempts     map[string]int              `json:"attempts"`     // client transactions (servers), by state
	Requests     int64                       `json:"requests"`     // outside dialogs
	Inside       int64                       `json:"inside"`       // inside dialogs
	Dialogs      int64                       `json:"dialogs"`      // dialogs created
	Byes         int64                       `json:"byes"`
	Finals       map[int]int64               `json:"finals"`  // final responses sent, by code
	Ends         map[string]int64            `json:"ends"`    // outcomes of attempts and of requests inside dialogs
	Refused      map[string]int64            `json:"refused"` // by cause
	Late         int64                       `json:"late"`    // 2xx after another final response: ended with BYE
	Stray        int64                       `json:"stray"`
	Repeats      int64                       `json:"repeats"`
	Malformed    int64                       `json:"malformed"`
	Dropped      int64                       `json:"dropped"` // datagrams dropped because of backlog
	Sources      int                         `json:"sources"`
	Connections  int                         `json:"connections"`
	TurnedAway   int64                       `json:"turned_away"` // refused connections
	Servers      []Server                    `json:"servers"`
	Held         int                         `json:"held"`
	Counts       map[string]map[string]int64 `json:"counts"`
}

// Clients are the clients' connections.
type Clients struct {
	Connections int `json:"connections"`
	Idle        int `json:"idle"`
	Silent      int `json:"silent"` // no request head received yet
	Most        int `json:"most"`
}

// Descriptors are the process's file descriptors.
type Descriptors struct {
	Open  int `json:"open"`
	Limit int `json:"limit"`
}

// Memory is the process's memory use, in bytes.
type Memory struct {
	Heap  uint64 `json:"heap"`
	Total uint64 `json:"total"` // obtained from the operating system
	Limit uint64 `json:"limit"`
	// Budget is what clients make the process hold, by kind.
	Budget []membudget.Usage `json:"budget,omitempty"`
}

// Node is the node behind a control socket.
type Node interface {
	// Inspect returns the node's status. It is never called concurrently: requests that arrive meanwhile
	// share the answer.
	Inspect(ctx context.Context) (Inspection, error)
	// ApplyStateCommand carries out a valid command on the saved state; it returns once the change is on disk.
	ApplyStateCommand(k StateCommand) error
	// ApplyFleetBans applies the fleet's bans; it returns once they are in force and, if the node saves state, on disk.
	ApplyFleetBans(ctx context.Context, w FleetBans) (FleetStatus, error)
}

// Serve serves the socket at path until ctx ends.
func Serve(ctx context.Context, path string, node Node, log *slog.Logger) error {
	l, err := Listen(path)
	if err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return serveListener(ctx, l, node, log)
}

// serveListener is Serve with a socket that is open already.
func serveListener(ctx context.Context, l net.Listener, node Node, log *slog.Logger) error {
	h := &handler{inspect: node.Inspect}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/inspect", h)
	mux.HandleFunc("POST /v1/kept", func(w http.ResponseWriter, r *http.Request) {
		var k StateCommand
		err := json.NewDecoder(io.LimitReader(r.Body, maxKeepSize)).Decode(&k)
		if err = errors.Join(err, k.Check()); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := node.ApplyStateCommand(k); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	mux.HandleFunc("POST /v1/fleet", func(w http.ResponseWriter, r *http.Request) {
		var bans FleetBans
		text, err := io.ReadAll(io.LimitReader(r.Body, maxWordSize+1))
		if err == nil && len(text) > maxWordSize {
			err = fmt.Errorf("larger than %d bytes", maxWordSize)
		}
		if err == nil {
			err = json.Unmarshal(text, &bans)
		}
		if err == nil {
			err = bans.Check()
		}
		if err != nil {
			http.Error(w, "the fleet's word: "+err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		status, err := node.ApplyFleetBans(ctx, bans)
		switch {
		case errors.Is(err, ErrOutdatedBans):
			http.Error(w, err.Error(), http.StatusConflict)
		case errors.Is(err, ErrNoFleet):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(status) // an agent that has disconnected asks again
		}
	})
	s := &http.Server{
		Handler: mux, ReadTimeout: answerTimeout, MaxHeaderBytes: 4 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(netutil.LimitListener(writelimit.Listener(l, writelimit.Limits{Grace: writeTimeout}), maxConnections)); err != nil && ctx.Err() == nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return nil
}

// Listen opens a Unix socket that only its owner can access. A stale socket of a dead process is replaced; one
// that still accepts connections is not, nor is any other file.
func Listen(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != fs.ModeSocket {
			return nil, fmt.Errorf("%s exists and is not a socket", path)
		}
		if c, err := net.Dial("unix", path); err == nil {
			c.Close()
			return nil, fmt.Errorf("%s: another process answers there", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	l, err := unixsock.Listen(path)
	if err != nil {
		return nil, err
	}
	return &unlinkingListener{l, path}, nil
}

// unlinkingListener removes its socket when it is closed.
type unlinkingListener struct {
	net.Listener
	path string
}

func (l *unlinkingListener) Close() error {
	err := l.Listener.Close()
	if err == nil {
		os.Remove(l.path)
	}
	return err
}

type handler struct {
	inspect func(context.Context) (Inspection, error)

	mu      sync.Mutex
	pending *pending
}

// pending is an inspection in progress.
type pending struct {
	done chan struct{}
	text []byte
	err  error
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	p := h.pending
	if p == nil {
		p = &pending{done: make(chan struct{})}
		h.pending = p
		go h.run(p)
	}
	h.mu.Unlock()
	select {
	case <-p.done:
	case <-r.Context().Done():
		return
	}
	if p.err != nil {
		http.Error(w, p.err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(p.text)
}

func (h *handler) run(p *pending) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	i, err := h.inspect(ctx)
	if err == nil {
		p.text, err = json.Marshal(i)
	}
	p.err = err
	h.mu.Lock()
	h.pending = nil
	h.mu.Unlock()
	close(p.done)
}

// transport connects to the node whose control socket is at path.
func transport(path string) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}
}

// call sends a request to the node whose control socket is at path, and returns its answer.
func call(ctx context.Context, path, method, at string, body any) (status int, answer []byte, err error) {
	var text []byte
	if body != nil {
		if text, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://node/v1/"+at, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	resp, err := transport(path).RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize+1))
	switch {
	case err != nil:
		return 0, nil, err
	case len(answer) > maxAnswerSize:
		return 0, nil, fmt.Errorf("answer is larger than %d bytes", maxAnswerSize)
	case resp.StatusCode != http.StatusOK:
		return resp.StatusCode, answer, fmt.Errorf("the node answered %s: %.200s", resp.Status, bytes.TrimSpace(answer))
	}
	return resp.StatusCode, answer, nil
}

// SendStateCommand sends a command on the saved state to the node whose control socket is at path.
func SendStateCommand(ctx context.Context, path string, k StateCommand) error {
	if _, _, err := call(ctx, path, http.MethodPost, "kept", k); err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	return nil
}

// SendFleetBans sends the fleet's bans to the node whose control socket is at path.
func SendFleetBans(ctx context.Context, path string, w FleetBans) (is FleetStatus, err error) {
	status, answer, err := call(ctx, path, http.MethodPost, "fleet", w)
	switch {
	case status == http.StatusConflict:
		return is, fmt.Errorf("%w: %w", ErrOutdatedBans, err)
	case status == http.StatusNotFound:
		return is, fmt.Errorf("%w: %w", ErrNoFleet, err)
	case err != nil:
		return is, fmt.Errorf("the fleet's word: %w", err)
	}
	if err := json.Unmarshal(answer, &is); err != nil {
		return is, fmt.Errorf("the fleet's word: %w", err)
	}
	return is, nil
}

// Inspect returns the status of the node whose control socket is at path.
func Inspect(ctx context.Context, path string) (Inspection, error) {
	var i Inspection
	_, text, err := call(ctx, path, http.MethodGet, "inspect", nil)
	if err != nil {
		return i, fmt.Errorf("inspect: %w", err)
	}
	if err := json.Unmarshal(text, &i); err != nil {
		return i, fmt.Errorf("inspect: %w", err)
	}
	if i.Form != Version {
		return i, fmt.Errorf("inspect: %w", errVersionMismatch)
	}
	return i, nil
}

var errVersionMismatch = errors.New("the node's answer has a format version that this program does not support: use the same version of both")
