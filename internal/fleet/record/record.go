// Package record keeps an append-only file of entries that are on the disk before
// anything is done about them.
//
// The file is lines of text: eight hexadecimal digits of CRC-32C (Castagnoli, RFC
// 3720 section B.4) over the entry, a space, eight of its length, a space, the entry
// as JSON on one line, a line feed. The first line's entry is a Header. An append is written and fsynced
// before it counts. A torn last line, as a power cut leaves it, is dropped on
// opening; damage before the last line ends what is read.
package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
)

const (
	// Version of the file's form.
	Version = 1
	// LineMost bounds an entry, in bytes.
	LineMost = 64 << 20
	// FileMost bounds what is read of a file; a record is compacted far below it.
	FileMost = 256 << 20
)

// Header is the first entry of a file.
type Header struct {
	Record int    `json:"otteragent_record"`
	Owner  string `json:"owner"`
}

// FS is the part of a file system that a record needs; tests put failing disks in
// its place.
type FS interface {
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing, in place of what was there.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	// SyncDir makes renames in a folder last.
	SyncDir(name string) error
}

// File is a file that is written.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OS is the system's file system.
type OS struct{}

// ReadFile implements FS; a file over FileMost is an error.
func (OS) ReadFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > FileMost {
		return nil, fmt.Errorf("%s: %d bytes, at most %d are read", name, info.Size(), FileMost)
	}
	return os.ReadFile(name)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return file(os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600))
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return file(os.OpenFile(name, os.O_WRONLY|os.O_APPEND, 0o600))
}

func file(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err // and no File that holds a nil pointer
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements FS.
func (OS) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Log is an open record. One goroutine at a time uses it.
type Log struct {
	fs   FS
	path string
	head Header
	file File  // nil while the record is broken
	size int64 // of what is good
	err  error // why it is broken
}

// Found says what opening a file met besides good entries.
type Found struct {
	New   bool   // there was no file
	Torn  int    // bytes of a torn last line that were dropped
	Aside string // where a damaged file was put; entries before the damage were read
	Why   string // what was wrong with it
}

// Open reads the file at path, handing each entry to read in order, and makes it
// ready for appends. An entry that read refuses counts as damage. A damaged file is
// kept aside; the caller should then Rewrite with what it has, as the file is empty
// until then. An error means that the file can't be read or written at all.
func Open(fsys FS, path, owner string, read func(json.RawMessage) error) (*Log, Found, error) {
	l := &Log{fs: fsys, path: path, head: Header{Version, owner}}
	text, err := fsys.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return l, Found{New: true}, l.Rewrite(nil)
	}
	if err != nil {
		return nil, Found{}, fmt.Errorf("record: %w", err)
	}
	good, why := scan(text, func(line int, entry json.RawMessage) error {
		if line > 1 {
			return read(entry)
		}
		var h Header
		if err := json.Unmarshal(entry, &h); err != nil {
			return err
		}
		if h.Record != Version {
			return fmt.Errorf("form %d, this program reads form %d", h.Record, Version)
		}
		if h.Owner != owner {
			return fmt.Errorf("it is the record of %q, not of %q", h.Owner, owner)
		}
		return nil
	})
	if why == nil && good > 0 {
		f, err := fsys.Append(path)
		if err != nil {
			return nil, Found{}, fmt.Errorf("record: %w", err)
		}
		l.file, l.size = f, int64(good)
		torn := len(text) - good
		if torn > 0 {
			if err := f.Truncate(l.size); err != nil {
				f.Close()
				return nil, Found{}, fmt.Errorf("record %s: drop a torn line: %w", path, err)
			}
		}
		return l, Found{Torn: torn}, nil
	}
	if why == nil {
		why = errors.New("no whole first line")
	}
	aside := path + ".damaged"
	for n := 2; ; n++ { // keep what an earlier one may still tell
		if _, err := fsys.ReadFile(aside); errors.Is(err, fs.ErrNotExist) {
			break
		}
		aside = path + ".damaged-" + strconv.Itoa(n)
	}
	if err := fsys.Rename(path, aside); err != nil {
		return nil, Found{}, fmt.Errorf("record %s is damaged (%w) and can't be put aside: %w", path, why, err)
	}
	return l, Found{Aside: aside, Why: why.Error()}, l.Rewrite(nil)
}

// Read hands on the entries of the file at path, without its header, and changes nothing. A
// torn last line is passed over, damage before it an error.
func Read(fsys FS, path string, read func(json.RawMessage) error) error {
	text, err := fsys.ReadFile(path)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	_, err = scan(text, func(line int, entry json.RawMessage) error {
		if line == 1 {
			return nil
		}
		return read(entry)
	})
	if err != nil {
		return fmt.Errorf("record %s: %w", path, err)
	}
	return nil
}

// headLen is what stands before an entry on its line.
const headLen = 18

// errJoined means that a line holds more than one entry: the line feed between them
// is lost, which no torn write explains.
var errJoined = errors.New("longer than its length")

var table = crc32.MakeTable(crc32.Castagnoli)

// scan hands on the entries of a text. It gives the length of the good part, and an
// error if what follows is more than a torn last line.
func scan(text []byte, entry func(line int, e json.RawMessage) error) (good int, err error) {
	for line := 1; good < len(text); line++ {
		rest := text[good:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return good, nil // torn
		}
		e, err := check(rest[:end])
		if err == nil {
			err = entry(line, e)
		} else if good+end+1 == len(text) && line > 1 && !errors.Is(err, errJoined) {
			return good, nil // torn within the last line, as pages reach the disk in any order
		}
		if err != nil {
			return good, fmt.Errorf("line %d: %w", line, err)
		}
		good += end + 1
	}
	return good, nil
}

func check(line []byte) (json.RawMessage, error) {
	if len(line) < headLen || line[8] != ' ' || line[17] != ' ' {
		return nil, errors.New("no checksum and length")
	}
	sum, err := strconv.ParseUint(string(line[:8]), 16, 32)
	if err != nil {
		return nil, errors.New("no checksum")
	}
	length, err := strconv.ParseUint(string(line[9:17]), 16, 32)
	if err != nil {
		return nil, errors.New("no length")
	}
	e := line[headLen:]
	switch {
	case uint64(len(e)) > length:
		return nil, errJoined
	case uint64(len(e)) < length:
		return nil, errors.New("shorter than its length")
	}
	if crc32.Checksum(e, table) != uint32(sum) {
		return nil, errors.New("checksum does not fit")
	}
	return e, nil
}

// encode gives an entry's line.
func encode(v any) ([]byte, error) {
	e, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if len(e) > LineMost {
		return nil, fmt.Errorf("record: an entry of %d bytes, at most %d are taken", len(e), LineMost)
	}
	return fmt.Appendf(make([]byte, 0, len(e)+headLen+1), "%08x %08x %s\n", crc32.Checksum(e, table), len(e), e), nil
}

// Append puts an entry on the disk. On an error it is not there: what was written
// of it is taken back, and if that can't be done, or the disk did not confirm it,
// the record is broken until a Rewrite succeeds.
func (l *Log) Append(v any) error {
	if l.err != nil {
		return fmt.Errorf("record: broken: %w", l.err)
	}
	line, err := encode(v)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(line); err != nil {
		if undo := l.file.Truncate(l.size); undo != nil {
			l.fail(err)
		}
		return fmt.Errorf("record %s: %w", l.path, err)
	}
	if err := l.file.Sync(); err != nil {
		// After a failed fsync the kernel may show pages as clean that never
		// reached the disk; nothing more is built on this file.
		l.fail(err)
		return fmt.Errorf("record %s: %w", l.path, err)
	}
	l.size += int64(len(line))
	return nil
}

func (l *Log) fail(err error) {
	l.err = err
	l.file.Close()
	l.file = nil
}

// Rewrite replaces the file by one that holds nothing but the given entry, or none.
// The old file stands until the new one is whole on the disk.
func (l *Log) Rewrite(v any) error {
	head, err := encode(l.head)
	if err != nil {
		return err
	}
	if v != nil {
		line, err := encode(v)
		if err != nil {
			return err
		}
		head = append(head, line...)
	}
	f, err := replace(l.fs, l.path, head)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size, l.err = f, int64(len(head)), nil
	if err := l.fs.SyncDir(filepath.Dir(l.path)); err != nil {
		l.fail(err) // the name may still lead to the old file after a power cut
		return fmt.Errorf("record %s: %w", l.path, err)
	}
	return nil
}

// replace writes a text in a file's place, and gives the file, open at its end. Until the new
// one is whole on the disk the old one stands; the caller makes the name last by SyncDir.
func replace(fsys FS, path string, text []byte) (File, error) {
	fresh := path + ".new"
	f, err := fsys.Create(fresh)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = fsys.Rename(fresh, path)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("record %s: %w", path, err)
	}
	return f, nil
}

// Replace writes a whole file that has to last, of any form, in the place of what was there.
func Replace(fsys FS, path string, text []byte) error {
	f, err := replace(fsys, path, text)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Close(), fsys.SyncDir(filepath.Dir(path))); err != nil {
		return fmt.Errorf("record %s: %w", path, err)
	}
	return nil
}

// Size gives the file's length in bytes.
func (l *Log) Size() int64 { return l.size }

// Err tells why the record is broken; nil while it is not.
func (l *Log) Err() error { return l.err }

// Close closes the file; what is appended from then on is an error.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file, l.err = nil, errClosed
	return err
}

var errClosed = errors.New("closed")
