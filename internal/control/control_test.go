package control

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"otterstep/internal/cordon"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one by its answers.
type node struct {
	inspect func(context.Context) (Inspection, error)
	keep    func(Keep) error
	tell    func(Word) (Fleet, error)
}

func (n node) Inspect(ctx context.Context) (Inspection, error) { return n.inspect(ctx) }
func (n node) Keep(k Keep) error                               { return n.keep(k) }
func (n node) Tell(_ context.Context, w Word) (Fleet, error)   { return n.tell(w) }

func serve(t *testing.T, inspect func(context.Context) (Inspection, error)) string {
	t.Helper()
	return serveNode(t, node{inspect: inspect})
}

func serveNode(t *testing.T, n node) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, path, n, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if _, err := os.Lstat(path); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("the socket is left: %v", err)
		}
	})
	for {
		if _, err := os.Lstat(path); err == nil {
			return path
		}
	}
}

// However many ask, one inspection is under way at a time, and each gets an answer.
func TestOneInspectionAtATime(t *testing.T) {
	var now, most, all atomic.Int64
	release := make(chan struct{})
	path := serve(t, func(context.Context) (Inspection, error) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer now.Add(-1)
		all.Add(1)
		<-release
		return Inspection{Form: Version, Name: "n1"}, nil
	})
	var askers sync.WaitGroup
	for range 30 {
		askers.Go(func() {
			if i, err := Inspect(context.Background(), path); err != nil || i.Name != "n1" {
				t.Errorf("%+v, %v", i, err)
			}
		})
	}
	for all.Load() == 0 {
	}
	close(release)
	askers.Wait()
	if most.Load() != 1 {
		t.Errorf("%d at a time", most.Load())
	}
}

func TestAnswersThatCannotBeUsed(t *testing.T) {
	path := serve(t, func(context.Context) (Inspection, error) { return Inspection{}, errors.New("the loop is busy") })
	if _, err := Inspect(t.Context(), path); err == nil || !strings.Contains(err.Error(), "the loop is busy") {
		t.Errorf("%v", err)
	}
	path = serve(t, func(context.Context) (Inspection, error) { return Inspection{Form: Version + 1}, nil })
	if _, err := Inspect(t.Context(), path); !errors.Is(err, errForm) {
		t.Errorf("%v", err)
	}
	if _, err := Inspect(t.Context(), filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("an answer from nobody")
	}
}

// What becomes of what a node keeps is said in one of a few words; a node's no reaches who asked.
func TestKeep(t *testing.T) {
	var told []string
	path := serveNode(t, node{keep: func(k Keep) error {
		if told = append(told, k.Do); k.Do == KeepHold {
			return ErrNothingKept
		}
		return nil
	}})
	if err := TellKept(t.Context(), path, Keep{KeepForget}); err != nil {
		t.Error(err)
	}
	if err := TellKept(t.Context(), path, Keep{KeepHold}); err == nil || !strings.Contains(err.Error(), "keeps nothing") {
		t.Errorf("%v", err)
	}
	if err := TellKept(t.Context(), path, Keep{"burn"}); err == nil || !strings.Contains(err.Error(), `"burn" is none of`) {
		t.Errorf("%v", err)
	}
	if !slices.Equal(told, []string{KeepForget, KeepHold}) {
		t.Errorf("told %v", told)
	}
}

func TestSocketFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file); err == nil {
		t.Error("a file was replaced by a socket")
	}
	dead := filepath.Join(dir, "dead")
	l, err := net.Listen("unix", dead)
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	mine, err := Listen(dead)
	if err != nil {
		t.Fatalf("a dead process's socket: %v", err)
	}
	defer mine.Close()
	if info, err := os.Lstat(dead); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	if _, err := Listen(dead); err == nil || !strings.Contains(err.Error(), "another process answers") {
		t.Errorf("a living process's socket: %v", err)
	}
}

// The fleet's word comes whole or not at all, and the node's no keeps its meaning.
func TestTell(t *testing.T) {
	var took []Word
	answer := error(nil)
	path := serveNode(t, node{tell: func(w Word) (Fleet, error) {
		took = append(took, w)
		return Fleet{Version: w.Version, Listed: 3}, answer
	}})
	word := Word{cordon.Word{Version: 7, Token: 2, Bans: []cordon.Ban{{ID: "s/1", Reason: "disk", By: "ada"}}}, true}
	if is, err := Tell(t.Context(), path, word); err != nil || is.Version != 7 || is.Listed != 3 || len(took) != 1 || !reflect.DeepEqual(took[0], word) {
		t.Errorf("%+v, %v; took %+v", is, err, took)
	}
	for _, answer = range []error{ErrOldWord, ErrNoFleet} {
		if _, err := Tell(t.Context(), path, word); !errors.Is(err, answer) {
			t.Errorf("%v, want %v", err, answer)
		}
	}
	took, answer = nil, nil
	many := Word{Word: cordon.Word{Bans: make([]cordon.Ban, cordon.BansMost+1)}}
	long := Word{Word: cordon.Word{Bans: []cordon.Ban{{ID: "s1", Reason: strings.Repeat("x", wordMost)}}}}
	for _, bad := range []Word{many, long, {Word: cordon.Word{Bans: []cordon.Ban{{ID: "s1"}, {ID: "s1"}}}}} {
		if _, err := Tell(t.Context(), path, bad); err == nil || len(took) > 0 {
			t.Errorf("%d bans: %v, took %d", len(bad.Bans), err, len(took))
		}
	}
}
