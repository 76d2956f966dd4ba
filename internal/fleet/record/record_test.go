package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

func open(t *testing.T, fsys FS, path string) (*Log, OpenReport, []string) {
	t.Helper()
	var read []string
	l, found, err := Open(fsys, path, "m1", func(e json.RawMessage) error {
		var s string
		if err := json.Unmarshal(e, &s); err != nil {
			return err
		}
		read = append(read, s)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return l, found, read
}

func TestEntriesSurviveReopening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	l, found, read := open(t, OS{}, path)
	if !found.Created || len(read) != 0 {
		t.Errorf("new file: %+v, %q", found, read)
	}
	var want []string
	for n := range 5 {
		want = append(want, fmt.Sprint("entry\n", n))
		if err := l.Append(want[n]); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	l, found, read = open(t, OS{}, path)
	if found != (OpenReport{}) || !slices.Equal(read, want) {
		t.Errorf("read %q, %+v, want %q", read, found, want)
	}
	if err := l.Rewrite("all"); err != nil {
		t.Fatal(err)
	}
	if err := l.Append("more"); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, _, read = open(t, OS{}, path); !slices.Equal(read, []string{"all", "more"}) {
		t.Errorf("after a rewrite read %q", read)
	}
}

// A file truncated at any byte gives all complete entries and accepts further ones.
func TestTornTail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	l, _, _ := open(t, OS{}, path)
	ends := []int64{l.Size()}
	for n := range 4 {
		if err := l.Append(fmt.Sprint("entry ", n)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, l.Size())
	}
	l.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(text) + 1 {
		torn := filepath.Join(t.TempDir(), "record")
		if err := os.WriteFile(torn, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		complete := 0
		for complete < len(ends) && ends[complete] <= int64(cut) {
			complete++
		}
		l, found, read := open(t, OS{}, torn)
		if want := max(0, complete-1); len(read) != want {
			t.Fatalf("cut at %d: %d entries, want %d", cut, len(read), want)
		}
		if (found.MovedTo != "") != (complete == 0) {
			t.Errorf("cut at %d: %+v, want it moved aside only without a complete first line", cut, found)
		}
		if err := l.Append("next"); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if _, _, again := open(t, OS{}, torn); len(again) != len(read)+1 || again[len(read)] != "next" {
			t.Errorf("cut at %d: read %q after an append", cut, again)
		}
	}
}

// A flipped bit never gives a wrong entry; damage before the last line moves the
// unchanged file aside.
func TestDamageIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	l, _, _ := open(t, OS{}, path)
	for n := range 3 {
		if err := l.Append(fmt.Sprint("entry ", n)); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := strings.LastIndexByte(string(text[:len(text)-1]), '\n') + 1
	for at := range text {
		damaged := slices.Clone(text)
		damaged[at] ^= 0x04
		file := filepath.Join(t.TempDir(), "record")
		if err := os.WriteFile(file, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		_, found, read := open(t, OS{}, file)
		for n, e := range read {
			if e != fmt.Sprint("entry ", n) {
				t.Fatalf("byte %d: read %q", at, read)
			}
		}
		if at >= last {
			if found.MovedTo != "" || len(read) != 2 {
				t.Errorf("byte %d, in the last line: %+v, %q", at, found, read)
			}
			continue
		}
		kept, err := os.ReadFile(found.MovedTo)
		if err != nil || string(kept) != string(damaged) || found.Reason == "" {
			t.Errorf("byte %d: %+v, %v, want the damaged file moved aside", at, found, err)
		}
	}
}

func TestForeignFilesAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	l, _, _ := open(t, OS{}, path)
	l.Append("mine")
	l.Close()
	_, found, err := Open(OS{}, path, "m2", func(json.RawMessage) error { t.Error("read"); return nil })
	if err != nil || !strings.Contains(found.Reason, `"m1"`) {
		t.Errorf("%+v, %v, want the owner named", found, err)
	}
	if _, _, err := Open(OS{}, t.TempDir(), "m1", nil); err == nil {
		t.Error("a directory was opened as a record")
	}
}

// disk is an in-memory file system that loses unsynced data in a simulated power cut and
// fails at the operation with number failAt.
type disk struct {
	files, durable map[string]*inode // by name: at present, and after a power cut
	ops, failAt    int
	err            error
}

type inode struct{ data, synced []byte }

func newDisk() *disk {
	return &disk{files: map[string]*inode{}, durable: map[string]*inode{}, failAt: -1}
}

func (d *disk) fails() error {
	d.ops++
	if d.ops-1 == d.failAt {
		return d.err
	}
	return nil
}

func (d *disk) ReadFile(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (d *disk) Create(name string) (File, error) {
	if err := d.fails(); err != nil {
		return nil, err
	}
	d.files[name] = &inode{}
	return &handle{d, d.files[name]}, nil
}

func (d *disk) Append(name string) (File, error) {
	if err := d.fails(); err != nil {
		return nil, err
	}
	return &handle{d, d.files[name]}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.fails(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.fails(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	return nil
}

// crash simulates a power cut: unsynced renames are kept or lost, and a prefix of the
// unsynced data survives.
func (d *disk) crash(rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		d.files = maps.Clone(d.durable)
	}
	for _, f := range d.files {
		if n := len(f.synced); len(f.data) > n {
			f.data = f.data[:n+rng.IntN(len(f.data)-n+1)]
		} else if rng.IntN(2) == 0 { // an unsynced truncation is lost
			f.data = slices.Clone(f.synced)
		}
		f.synced = slices.Clone(f.data)
	}
	d.durable = maps.Clone(d.files)
	d.failAt = -1
}

type handle struct {
	disk *disk
	file *inode
}

func (h *handle) Write(b []byte) (int, error) {
	if err := h.disk.fails(); err != nil {
		half := len(b) / 2 // as a full disk does
		h.file.data = append(h.file.data, b[:half]...)
		return half, err
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.disk.fails(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *handle) Truncate(n int64) error {
	if err := h.disk.fails(); err != nil {
		return err
	}
	h.file.data = h.file.data[:n]
	return nil
}

func (h *handle) Close() error { return nil }

// Disks fail at any call and power is cut at any time: every entry whose Append succeeded
// must be read again, in order, and no other entries than those whose Append failed. The
// seed is in the test's name.
func TestFailingDisksKeepConfirmedEntries(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			d := newDisk()
			var confirmed []string
			unconfirmed := map[string]bool{} // possibly written, but not confirmed
			next := 0
			check := func(read []string) {
				t.Helper()
				rest := read
				for _, want := range confirmed {
					for len(rest) > 0 && rest[0] != want && unconfirmed[rest[0]] {
						rest = rest[1:]
					}
					if len(rest) == 0 || rest[0] != want {
						t.Fatalf("read %q, lacks %q of %q", read, want, confirmed)
					}
					rest = rest[1:]
				}
				for _, more := range rest {
					if !unconfirmed[more] {
						t.Fatalf("read %q, which was never written", more)
					}
				}
			}
			l, _, _ := open(t, d, "record")
			for range 40 {
				if rng.IntN(3) == 0 {
					d.failAt = d.ops + rng.IntN(4)
					d.err = []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS}[rng.IntN(3)]
				}
				switch rng.IntN(8) {
				case 0:
					d.crash(rng)
					var read []string
					l, _, read = open(t, d, "record")
					check(read)
					confirmed, unconfirmed = read, map[string]bool{}
				case 1:
					if l.Err() != nil { // repair it by a rewrite, as an agent does
						if err := l.Rewrite(nil); err == nil {
							confirmed, unconfirmed = nil, map[string]bool{}
						}
					}
				default:
					next++
					e := fmt.Sprint(next)
					if err := l.Append(e); err == nil {
						confirmed = append(confirmed, e)
					} else {
						unconfirmed[e] = true
					}
				}
			}
			d.crash(rng)
			_, _, read := open(t, d, "record")
			check(read)
		})
	}
}

// After a failed fsync nothing is appended until a Rewrite.
func TestFailedSyncIsFinal(t *testing.T) {
	d := newDisk()
	l, _, _ := open(t, d, "record")
	d.failAt, d.err = d.ops+1, syscall.EIO
	if err := l.Append("a"); !errors.Is(err, syscall.EIO) {
		t.Fatalf("got %v", err)
	}
	if err := l.Append("b"); err == nil || l.Err() == nil {
		t.Error("an entry was appended after a failed fsync")
	}
	if err := l.Rewrite("whole"); err != nil {
		t.Fatal(err)
	}
	if err := l.Append("c"); err != nil {
		t.Fatal(err)
	}
	if _, _, read := open(t, d, "record"); !slices.Equal(read, []string{"whole", "c"}) {
		t.Errorf("read %q", read)
	}
}

func TestMaxEntrySize(t *testing.T) {
	l, _, _ := open(t, newDisk(), "record")
	if err := l.Append(strings.Repeat("x", MaxEntrySize)); err == nil {
		t.Error("an entry over the size limit was accepted")
	}
	if err := l.Append("small"); err != nil {
		t.Error(err)
	}
}

func FuzzScan(f *testing.F) {
	line, _ := encode(Header{FormatVersion, "m1"})
	f.Add(line)
	f.Add([]byte("00000000 {}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		valid, _ := scan(text, func(_ int, e json.RawMessage) error {
			if !json.Valid(e) {
				return errors.New("no JSON")
			}
			return nil
		})
		if valid > len(text) || valid > 0 && text[valid-1] != '\n' {
			t.Errorf("good part of %d bytes in %d", valid, len(text))
		}
	})
}
