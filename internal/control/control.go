// Package control is a node's control socket: a Unix socket on which the machine's
// agent asks what the node is doing, says what becomes of what the node keeps for its way back, and brings
// the fleet's word, if the node takes one.
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
	"otterstep/internal/unixsock"
)

// Version of the answers' form; it grows with each change that a reader must know.
const Version = 1

const (
	connectionsMost = 8 // open at once; further ones wait in the kernel
	answerWithin    = 2 * time.Second
	answerMost      = 4 << 20
	keepMost        = 4 << 10
	wordMost        = 1 << 20
)

// Server is a listed server as the node sees it.
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
	Form        int                         `json:"form"` // Version
	Name        string                      `json:"name"`
	Version     string                      `json:"version"`
	Started     time.Time                   `json:"started"`
	State       string                      `json:"state"` // starting, ready or draining
	Listen      string                      `json:"listen"`
	Reloads     int                         `json:"reloads"`
	ReloadError string                      `json:"reload_error,omitempty"` // of the latest reload
	Servers     []Server                    `json:"servers"`
	Open        int                         `json:"open"`     // requests without their final answer
	Held        int                         `json:"held"`     // of these, those that wait for room
	Attempts    int                         `json:"attempts"` // in flight
	Clients     Clients                     `json:"clients"`
	Descriptors Descriptors                 `json:"descriptors"`
	Memory      Memory                      `json:"memory"`
	Counts      map[string]map[string]int64 `json:"counts"` // by class and outcome, since the start
	SIP         *SIP                        `json:"sip,omitempty"`
	Return      *Return                     `json:"return,omitempty"` // where something is kept
	Fleet       *Fleet                      `json:"fleet,omitempty"`  // where the fleet's word is taken
	Web         []Web                       `json:"web,omitempty"`
}

// Return is what the node keeps for its way back, and what it found of before.
type Return struct {
	Heard    bool      `json:"heard"` // discovery has answered since the start
	Used     bool      `json:"used"`  // the node began with the servers that were kept
	Servers  int       `json:"servers"`
	Rev      int64     `json:"rev"`
	Saved    time.Time `json:"saved"`
	AgeMs    int64     `json:"age_ms"` // of what was found, at the start
	AgeKnown bool      `json:"age_known"`
	Said     []string  `json:"said,omitempty"`    // what was wrong with it
	Failure  string    `json:"failure,omitempty"` // of the latest save
	Held     bool      `json:"held,omitempty"`    // nothing but calls by hand is written
	Hand     int       `json:"hand"`              // calls by hand that are kept
	Doubted  int       `json:"doubted"`           // servers in use that discovery has not confirmed
}

// Word is the fleet's, as the machine's agent has it.
type Word struct {
	cordon.Word
	// Sure tells that the agent has heard just now that nothing later was said.
	Sure bool `json:"sure"`
}

// Fleet is what a node knows of the fleet's word, and what operators have said at this node alone.
type Fleet struct {
	Version uint64    `json:"version"`
	Token   uint64    `json:"token"`
	Since   time.Time `json:"since,omitzero"` // when this version was told to this process
	Sure    bool      `json:"sure"`
	Waits   string    `json:"waits,omitempty"` // what the node waits for before it serves
	Bans    int       `json:"bans"`
	Listed  int       `json:"listed"`            // servers in the list
	Missing []string  `json:"missing,omitempty"` // servers that the fleet leaves out and that the list does not name
	Hand    []string  `json:"by_hand,omitempty"` // servers left out by hand at this node
}

// Refusals of a word. ErrOldWord is one of a later version or a later owner's that has been here.
var (
	ErrOldWord = errors.New("an older word than one that has been here")
	ErrNoFleet = errors.New("this node takes no word of the fleet: its operator's file has no [fleet]")
)

// Keep is what is to become of what a node keeps.
type Keep struct {
	Do string `json:"do"` // one of the words below
}

// The words of Keep.
const (
	KeepForget  = "forget"  // servers and figures are dropped from the disk; calls by hand stay
	KeepHold    = "hold"    // the files stay as they are, but for calls by hand
	KeepRelease = "release" // and are written again
)

// Check names what is wrong.
func (k Keep) Check() error {
	switch k.Do {
	case KeepForget, KeepHold, KeepRelease:
		return nil
	}
	return fmt.Errorf("do: %q is none of %s, %s, %s", k.Do, KeepForget, KeepHold, KeepRelease)
}

// ErrNothingKept means that the node keeps nothing for its way back.
var ErrNothingKept = errors.New("this node keeps nothing: its operator's file has no kept.file")

// Web is a front for ordinary HTTP. Counts are since the start.
type Web struct {
	Name        string                      `json:"name"`
	Listen      string                      `json:"listen"`
	Streams     int64                       `json:"streams"` // answers on their way
	Tunnels     int64                       `json:"tunnels"`
	Cut         int64                       `json:"cut"`         // answers that broke after they had begun
	Gone        int64                       `json:"gone"`        // clients that left before the end
	TurnedDown  int64                       `json:"turned_down"` // requests that could not be used
	Rules       []int64                     `json:"rules"`       // hits of each, and of none
	Connections int                         `json:"connections"` // to servers, over HTTP/1.1
	Idle        int                         `json:"idle"`        // of these
	Kept        int64                       `json:"kept"`        // bytes of bodies kept for further attempts
	Open        int                         `json:"open"`        // requests without their final answer
	Held        int                         `json:"held"`
	Servers     []Server                    `json:"servers"`
	Counts      map[string]map[string]int64 `json:"counts"`
}

// SIP is the front for calls, where it is on. Counts are since the start.
type SIP struct {
	Listen       map[string]string           `json:"listen"`       // by transport
	Transactions map[string]int              `json:"transactions"` // callers', open and lingering, by state
	Attempts     map[string]int              `json:"attempts"`     // transactions at servers, by state
	Requests     int64                       `json:"requests"`     // outside dialogs
	Inside       int64                       `json:"inside"`       // inside dialogs
	Dialogs      int64                       `json:"dialogs"`      // begun
	Byes         int64                       `json:"byes"`
	Finals       map[int]int64               `json:"finals"`  // responses given, by code
	Ends         map[string]int64            `json:"ends"`    // of attempts and of requests inside dialogs
	Refused      map[string]int64            `json:"refused"` // by cause
	Late         int64                       `json:"late"`    // 2xx after another final: ended with BYE
	Stray        int64                       `json:"stray"`
	Repeats      int64                       `json:"repeats"`
	Malformed    int64                       `json:"malformed"`
	Dropped      int64                       `json:"dropped"` // datagrams that the node was too far behind for
	Sources      int                         `json:"sources"`
	Connections  int                         `json:"connections"`
	TurnedAway   int64                       `json:"turned_away"` // connections
	Servers      []Server                    `json:"servers"`
	Held         int                         `json:"held"`
	Counts       map[string]map[string]int64 `json:"counts"`
}

// Clients are the clients' connections.
type Clients struct {
	Connections int `json:"connections"`
	Idle        int `json:"idle"`
	Silent      int `json:"silent"` // no head so far
	Most        int `json:"most"`
}

// Descriptors are the process's.
type Descriptors struct {
	Open  int `json:"open"`
	Limit int `json:"limit"`
}

// Memory is the process's, in bytes.
type Memory struct {
	Heap  uint64 `json:"heap"`
	Total uint64 `json:"total"` // had from the system
	Limit uint64 `json:"limit"`
}

// Node is whom a control socket speaks for.
type Node interface {
	// Inspect tells what the node is doing. It is never called more than once at a time: those who ask
	// meanwhile share its answer.
	Inspect(ctx context.Context) (Inspection, error)
	// Keep carries out a Keep whose word is known; it returns once that is on the disk.
	Keep(k Keep) error
	// Tell takes the fleet's word in, and returns once it is in force and on the node's disk, if it keeps
	// anything there.
	Tell(ctx context.Context, w Word) (Fleet, error)
}

// Serve answers on the socket at path until ctx ends.
func Serve(ctx context.Context, path string, node Node, log *slog.Logger) error {
	l, err := Listen(path)
	if err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	h := &handler{inspect: node.Inspect}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/inspect", h)
	mux.HandleFunc("POST /v1/kept", func(w http.ResponseWriter, r *http.Request) {
		var k Keep
		err := json.NewDecoder(io.LimitReader(r.Body, keepMost)).Decode(&k)
		if err = errors.Join(err, k.Check()); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := node.Keep(k); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	mux.HandleFunc("POST /v1/fleet", func(w http.ResponseWriter, r *http.Request) {
		var word Word
		text, err := io.ReadAll(io.LimitReader(r.Body, wordMost+1))
		if err == nil && len(text) > wordMost {
			err = fmt.Errorf("over %d bytes", wordMost)
		}
		if err == nil {
			err = json.Unmarshal(text, &word)
		}
		if err == nil {
			err = word.Check()
		}
		if err != nil {
			http.Error(w, "the fleet's word: "+err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
		defer cancel()
		is, err := node.Tell(ctx, word)
		switch {
		case errors.Is(err, ErrOldWord):
			http.Error(w, err.Error(), http.StatusConflict)
		case errors.Is(err, ErrNoFleet):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(is) // an agent that is gone asks again
		}
	})
	s := &http.Server{
		Handler: mux, ReadTimeout: answerWithin, WriteTimeout: 2 * answerWithin, MaxHeaderBytes: 4 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(netutil.LimitListener(l, connectionsMost)); err != nil && ctx.Err() == nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return nil
}

// Listen opens a Unix socket that only its owner may use. A socket that a dead
// process left behind is replaced; one that still answers is not, nor is any other
// file.
func Listen(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != fs.ModeSocket {
			return nil, fmt.Errorf("%s is there and no socket", path)
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
	return &unlinking{l, path}, nil
}

// unlinking removes its socket when it closes.
type unlinking struct {
	net.Listener
	path string
}

func (l *unlinking) Close() error {
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

// pending is an inspection under way.
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
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
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

// way leads to the node whose control socket is at path.
func way(path string) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}
}

// call makes a call at the node whose control socket is at path, and gives its answer.
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
	resp, err := way(path).RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, answerMost+1))
	switch {
	case err != nil:
		return 0, nil, err
	case len(answer) > answerMost:
		return 0, nil, fmt.Errorf("an answer of over %d bytes", answerMost)
	case resp.StatusCode != http.StatusOK:
		return resp.StatusCode, answer, fmt.Errorf("the node answered %s: %.200s", resp.Status, bytes.TrimSpace(answer))
	}
	return resp.StatusCode, answer, nil
}

// TellKept has the node whose control socket is at path do something with what it keeps.
func TellKept(ctx context.Context, path string, k Keep) error {
	if _, _, err := call(ctx, path, http.MethodPost, "kept", k); err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	return nil
}

// Tell brings the fleet's word to the node whose control socket is at path.
func Tell(ctx context.Context, path string, w Word) (is Fleet, err error) {
	status, answer, err := call(ctx, path, http.MethodPost, "fleet", w)
	switch {
	case status == http.StatusConflict:
		return is, fmt.Errorf("%w: %w", ErrOldWord, err)
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

// Inspect asks the node whose control socket is at path.
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
		return i, fmt.Errorf("inspect: %w", errForm)
	}
	return i, nil
}

var errForm = errors.New("the node answers in another form than this program reads: bring both to one version")
