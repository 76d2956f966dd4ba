package kept

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/confidence"
	"otterstep/internal/cordon"
	"otterstep/internal/fleet/record"
)

func view(rev int64, servers int) View {
	v := View{Rev: rev, By: "discovery", Saved: confidence.Stamp{Wall: time.Unix(1000+rev, 0).UTC(), Boot: "b"}, Hand: []cordon.Entry{{ID: "s1", Out: true, Stamp: 3}}}
	for n := range servers {
		v.Servers = append(v.Servers, Server{UID: fmt.Sprint("s", n), Endpoint: "127.0.0.1:1", State: "in_service", BootMs: int64(n)})
	}
	return v
}

func open(t *testing.T, path string) (*Store, *View, []string) {
	t.Helper()
	s, v, said := Open(record.OS{}, path, "n1")
	t.Cleanup(s.Close)
	return s, v, said
}

// Two generations: whatever a spoilt later one was cut to or had flipped, the one before is there, a
// word says what was wrong, and the next save is whole again.
func TestGenerations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "k")
	s, v, said := open(t, path)
	if v != nil || len(said) > 0 {
		t.Fatalf("%+v, %v", v, said)
	}
	for rev := range int64(3) {
		if err := s.Save(view(rev+1, 4)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	whole, err := os.ReadFile(path + ".a") // the first and the third
	if err != nil {
		t.Fatal(err)
	}
	for at := 0; at < len(whole); at += 1 + at/40 {
		for how, spoilt := range map[string][]byte{"cut": whole[:at], "flipped": flip(whole, at)} {
			if err := os.WriteFile(path+".a", spoilt, 0o600); err != nil {
				t.Fatal(err)
			}
			s, v, said := Open(record.OS{}, path, "n1")
			if v == nil || v.Rev != 2 || len(v.Servers) != 4 || len(said) != 1 {
				t.Fatalf("%s at %d: %+v, %v", how, at, v, said)
			}
			if err := s.Save(view(9, 1)); err != nil {
				t.Fatalf("%s at %d: %v", how, at, err)
			}
			s.Close()
			if _, v, _ = Open(record.OS{}, path, "n1"); v == nil || v.Rev != 9 || v.Sequence != 3 {
				t.Fatalf("%s at %d: behind it %+v", how, at, v)
			}
			if err := os.Remove(path + ".lock"); err != nil { // and the lock of the one above with it
				t.Fatal(err)
			}
		}
	}
}

func flip(text []byte, at int) []byte {
	out := append([]byte{}, text...)
	out[at] ^= 0x10
	return out
}

// A second process of the node reads, and writes only behind the first one's end, with a later sequence.
func TestOneOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "k")
	first, _, _ := open(t, path)
	if err := first.Save(view(1, 2)); err != nil {
		t.Fatal(err)
	}
	heir, v, said := open(t, path)
	if v == nil || v.Rev != 1 || len(said) > 0 {
		t.Fatalf("%+v, %v", v, said)
	}
	if err := heir.Save(view(5, 2)); !errors.Is(err, ErrNotOwner) {
		t.Fatal(err)
	}
	for rev := range int64(4) {
		if err := first.Save(view(rev+2, 2)); err != nil {
			t.Fatal(err)
		}
	}
	first.Close()
	if err := heir.Save(view(7, 2)); err != nil {
		t.Fatal(err)
	}
	heir.Close()
	if _, v, said = open(t, path); v == nil || v.Rev != 7 || v.Sequence != 6 || len(said) > 0 {
		t.Errorf("%+v, %v", v, said)
	}
}

// What belongs to another node, is of a newer form, can't be right or is no file is told, and never used.
func TestUnusable(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(path string) error
		want  string
	}{
		"another node's": {func(path string) error {
			s, _, _ := Open(record.OS{}, path, "n2")
			defer s.Close()
			return s.Save(view(1, 1))
		}, `the record of "n2"`},
		"a folder":  {func(path string) error { return os.Mkdir(path+".a", 0o700) }, "directory"},
		"a newer":   {raw(`{"form":2,"sequence":1}`), "form 2"},
		"twice":     {raw(`{"form":1,"servers":[{"uid":"a","endpoint":"x:1"},{"uid":"a","endpoint":"x:2"}]}`), "there twice"},
		"no JSON":   {raw(`{"form":"x"}`), "can't be used"},
		"no folder": {func(path string) error { return os.RemoveAll(filepath.Dir(path)) }, "nothing is written"},
	} {
		path := filepath.Join(t.TempDir(), "k", "k")
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), c.spoil(path)); err != nil {
			t.Fatal(err)
		}
		s, v, said := open(t, path)
		if v != nil || !strings.Contains(strings.Join(said, "; "), c.want) {
			t.Errorf("%s: %+v, %v, want %s", name, v, said, c.want)
		}
		s.Close()
	}
	s, _, _ := open(t, filepath.Join(t.TempDir(), "k"))
	if err := s.Save(view(1, ServersMost+1)); err == nil {
		t.Error("one server too many is kept")
	}
	if err := s.Save(view(1, ServersMost)); err != nil {
		t.Error(err)
	}
}

// raw writes an entry as it stands.
func raw(text string) func(path string) error {
	return func(path string) error {
		l, _, err := record.Open(record.OS{}, path+".a", "n1", nil)
		if err != nil {
			return err
		}
		return errors.Join(l.Rewrite(jsonText(text)), l.Close())
	}
}

type jsonText string

// MarshalJSON implements json.Marshaler.
func (j jsonText) MarshalJSON() ([]byte, error) { return []byte(j), nil }

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, _, _ := Open(record.OS{}, filepath.Join(b.TempDir(), "k"), "n1")
			defer s.Close()
			for b.Loop() {
				if err := s.Save(view(1, n)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "k")
			s, _, _ := Open(record.OS{}, path, "n1")
			if err := errors.Join(s.Save(view(1, n)), s.Save(view(2, n))); err != nil {
				b.Fatal(err)
			}
			s.Close()
			for b.Loop() {
				s, v, _ := Open(record.OS{}, path, "n1")
				if v == nil {
					b.Fatal("nothing")
				}
				s.Close()
			}
		})
	}
}

// failing is a disk on which the n-th write, sync, truncation, creation or rename fails, and all behind it.
type failing struct {
	record.OS
	err  error
	left int
}

func (f *failing) fails() error {
	if f.left--; f.left < 0 {
		return f.err
	}
	return nil
}

func (f *failing) open(file record.File, err error) (record.File, error) {
	if err != nil {
		return nil, err
	}
	return failingFile{file, f}, nil
}

func (f *failing) Create(name string) (record.File, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	return f.open(f.OS.Create(name))
}

func (f *failing) Append(name string) (record.File, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	return f.open(f.OS.Append(name))
}

func (f *failing) Rename(from, to string) error {
	return errors.Join(f.fails(), f.OS.Rename(from, to))
}

func (f *failing) SyncDir(name string) error { return errors.Join(f.fails(), f.OS.SyncDir(name)) }

type failingFile struct {
	record.File
	disk *failing
}

func (f failingFile) Write(b []byte) (int, error) {
	if err := f.disk.fails(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2]) // part of it is there
		return n, err
	}
	return f.File.Write(b)
}

func (f failingFile) Sync() error { return errors.Join(f.disk.fails(), f.File.Sync()) }

// A disk that fails at any step of a start or a save, full, read-only or at an fsync, leaves the node what it
// knew: the start goes on and says so, the save tells, and what was whole on the disk before is read at the
// next start, or what was saved if that was acknowledged.
func TestDisksThatFail(t *testing.T) {
	for _, why := range []error{unix.ENOSPC, unix.EROFS, unix.EIO} {
		for n := 0; ; n++ {
			path := filepath.Join(t.TempDir(), "k")
			s, _, _ := open(t, path)
			for rev := range int64(2) {
				if err := s.Save(view(rev+1, 3)); err != nil {
					t.Fatal(err)
				}
			}
			s.Close()
			disk := &failing{err: why, left: n}
			s, v, said := Open(disk, path, "n1")
			if v == nil || v.Rev != 2 {
				t.Fatalf("%v at step %d: begins with %+v, %v", why, n, v, said)
			}
			begun := disk.left >= 0
			acknowledged := s.Save(view(3, 3))
			failed := disk.left < 0
			if failed && begun && acknowledged == nil || !begun && len(said) == 0 && acknowledged == nil {
				t.Errorf("%v at step %d: nothing is told: %v, %v", why, n, said, acknowledged)
			}
			s.Close()
			s, v, said = open(t, path)
			if want := int64(2); v == nil || v.Rev < want || acknowledged == nil && v.Rev != 3 || len(v.Servers) != 3 {
				t.Errorf("%v at step %d, save %v: behind it %+v, %v", why, n, acknowledged, v, said)
			}
			if err := s.Save(view(9, 1)); err != nil {
				t.Errorf("%v at step %d: the disk is well again: %v", why, n, err)
			}
			s.Close()
			if !failed {
				break
			}
		}
	}
}

// A process that may not write, as another one of its name does or the disk forbids it, does not go by
// another node's file either.
func TestFilesOfOthersWithoutOwningThem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "k")
	other, _, _ := open(t, path)
	s, _, _ := Open(record.OS{}, path+"2", "n2")
	if err := errors.Join(other.Save(view(1, 1)), s.Save(view(1, 1))); err != nil {
		t.Fatal(err)
	}
	s.Close()
	for _, suffix := range suffixes {
		text, err := os.ReadFile(path + "2" + suffix)
		if err == nil {
			err = os.WriteFile(path+suffix, text, 0o600)
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			t.Fatal(err)
		}
	}
	if _, v, said := open(t, path); v != nil || len(said) == 0 { // n1's first process lives
		t.Errorf("%+v, %v", v, said)
	}
}
