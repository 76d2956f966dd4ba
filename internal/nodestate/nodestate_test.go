package nodestate

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/record"
	"otterstep/internal/staleness"
)

func view(rev int64, servers int) Snapshot {
	v := Snapshot{Rev: rev, Source: "discovery", Saved: staleness.Timestamp{Wall: time.Unix(1000+rev, 0).UTC(), Boot: "b"}, ManualCordons: []cordon.Entry{{ID: "s1", Out: true, Stamp: 3}}}
	for n := range servers {
		v.Servers = append(v.Servers, Server{UID: fmt.Sprint("s", n), Endpoint: "127.0.0.1:1", State: "in_service", BootMs: int64(n)})
	}
	return v
}

func open(t *testing.T, path string) (*Store, *Snapshot, []string) {
	t.Helper()
	s, v, problems := Open(record.OS{}, path, "n1")
	t.Cleanup(s.Close)
	return s, v, problems
}

// Two generations: with the later file truncated or corrupted at any byte, the previous one is read, one problem is
// reported, and the next save is complete again.
func TestGenerations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "k")
	s, v, problems := open(t, path)
	if v != nil || len(problems) > 0 {
		t.Fatalf("%+v, %v", v, problems)
	}
	for rev := range int64(3) {
		if err := s.Save(view(rev+1, 4)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	intact, err := os.ReadFile(path + ".a") // the first and the third
	if err != nil {
		t.Fatal(err)
	}
	for at := 0; at < len(intact); at += 1 + at/40 {
		for how, damaged := range map[string][]byte{"cut": intact[:at], "flipped": flip(intact, at)} {
			if err := os.WriteFile(path+".a", damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			s, v, problems := Open(record.OS{}, path, "n1")
			if v == nil || v.Rev != 2 || len(v.Servers) != 4 || len(problems) != 1 {
				t.Fatalf("%s at %d: %+v, %v", how, at, v, problems)
			}
			if err := s.Save(view(9, 1)); err != nil {
				t.Fatalf("%s at %d: %v", how, at, err)
			}
			s.Close()
			if _, v, _ = Open(record.OS{}, path, "n1"); v == nil || v.Rev != 9 || v.Sequence != 3 {
				t.Fatalf("%s at %d: read after the save: %+v", how, at, v)
			}
			if err := os.Remove(path + ".lock"); err != nil { // so that the store above no longer holds the lock
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

// A second process of the node reads, and writes only after the first one has ended, with a higher sequence number.
func TestOneWriter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "k")
	first, _, _ := open(t, path)
	if err := first.Save(view(1, 2)); err != nil {
		t.Fatal(err)
	}
	second, v, problems := open(t, path)
	if v == nil || v.Rev != 1 || len(problems) > 0 {
		t.Fatalf("%+v, %v", v, problems)
	}
	if err := second.Save(view(5, 2)); !errors.Is(err, ErrNotOwner) {
		t.Fatal(err)
	}
	for rev := range int64(4) {
		if err := first.Save(view(rev+2, 2)); err != nil {
			t.Fatal(err)
		}
	}
	first.Close()
	if err := second.Save(view(7, 2)); err != nil {
		t.Fatal(err)
	}
	second.Close()
	if _, v, problems = open(t, path); v == nil || v.Rev != 7 || v.Sequence != 6 || len(problems) > 0 {
		t.Errorf("%+v, %v", v, problems)
	}
}

// A file of another node, of a newer format, with invalid contents or that is not a regular file is reported and
// never used.
func TestUnusable(t *testing.T) {
	for name, c := range map[string]struct {
		setUp func(path string) error
		want  string
	}{
		"another node's": {func(path string) error {
			s, _, _ := Open(record.OS{}, path, "n2")
			defer s.Close()
			return s.Save(view(1, 1))
		}, `the record of "n2"`},
		"a directory":      {func(path string) error { return os.Mkdir(path+".a", 0o700) }, "directory"},
		"newer format":     {writeEntry(`{"form":2,"sequence":1}`), "format version 2"},
		"duplicate server": {writeEntry(`{"form":1,"servers":[{"uid":"a","endpoint":"x:1"},{"uid":"a","endpoint":"x:2"}]}`), "duplicate"},
		"invalid JSON":     {writeEntry(`{"form":"x"}`), "can't be used"},
		"no directory":     {func(path string) error { return os.RemoveAll(filepath.Dir(path)) }, "state is not saved"},
	} {
		path := filepath.Join(t.TempDir(), "k", "k")
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), c.setUp(path)); err != nil {
			t.Fatal(err)
		}
		s, v, problems := open(t, path)
		if v != nil || !strings.Contains(strings.Join(problems, "; "), c.want) {
			t.Errorf("%s: %+v, %v, want %s", name, v, problems, c.want)
		}
		s.Close()
	}
	s, _, _ := open(t, filepath.Join(t.TempDir(), "k"))
	if err := s.Save(view(1, MaxServers+1)); err == nil {
		t.Error("a snapshot with one server too many was saved")
	}
	if err := s.Save(view(1, MaxServers)); err != nil {
		t.Error(err)
	}
}

// writeEntry returns a function that writes text as the only entry of the first generation.
func writeEntry(text string) func(path string) error {
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
					b.Fatal("no snapshot was read")
				}
				s.Close()
			}
		})
	}
}

// failing is a file system on which the n-th write, sync, creation or rename and all later ones fail.
type failing struct {
	record.OS
	err       error
	remaining int
}

func (f *failing) step() error {
	if f.remaining--; f.remaining < 0 {
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
	if err := f.step(); err != nil {
		return nil, err
	}
	return f.open(f.OS.Create(name))
}

func (f *failing) Append(name string) (record.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	return f.open(f.OS.Append(name))
}

func (f *failing) Rename(from, to string) error {
	return errors.Join(f.step(), f.OS.Rename(from, to))
}

func (f *failing) SyncDir(name string) error { return errors.Join(f.step(), f.OS.SyncDir(name)) }

type failingFile struct {
	record.File
	disk *failing
}

func (f failingFile) Write(b []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2]) // a partial write
		return n, err
	}
	return f.File.Write(b)
}

func (f failingFile) Sync() error { return errors.Join(f.disk.step(), f.File.Sync()) }

// A disk error (full, read-only or I/O) at any step of opening or saving loses no state: opening continues and
// reports the problem, the save returns an error, and the next start reads the previous snapshot, or the saved one
// if the save was acknowledged.
func TestDiskErrors(t *testing.T) {
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
			disk := &failing{err: why, remaining: n}
			s, v, problems := Open(disk, path, "n1")
			if v == nil || v.Rev != 2 {
				t.Fatalf("%v at step %d: opened with %+v, %v", why, n, v, problems)
			}
			opened := disk.remaining >= 0
			acknowledged := s.Save(view(3, 3))
			failed := disk.remaining < 0
			if failed && opened && acknowledged == nil || !opened && len(problems) == 0 && acknowledged == nil {
				t.Errorf("%v at step %d: the error is not reported: %v, %v", why, n, problems, acknowledged)
			}
			s.Close()
			s, v, problems = open(t, path)
			if want := int64(2); v == nil || v.Rev < want || acknowledged == nil && v.Rev != 3 || len(v.Servers) != 3 {
				t.Errorf("%v at step %d, save returned %v: reopened with %+v, %v", why, n, acknowledged, v, problems)
			}
			if err := s.Save(view(9, 1)); err != nil {
				t.Errorf("%v at step %d: save after the disk has recovered: %v", why, n, err)
			}
			s.Close()
			if !failed {
				break
			}
		}
	}
}

// A process that does not hold the lock does not use another node's files either.
func TestForeignFilesWithoutLock(t *testing.T) {
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
	if _, v, problems := open(t, path); v != nil || len(problems) == 0 { // n1's first process still holds the lock
		t.Errorf("%+v, %v", v, problems)
	}
}
