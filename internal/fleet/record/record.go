// Package record keeps an append-only log file whose entries are durable before they
// take effect.
//
// The file consists of lines of text: eight hexadecimal digits of CRC-32C (Castagnoli,
// RFC 3720 section B.4) over the entry, a space, eight digits of its length, a space, the
// entry as JSON on one line, a line feed. The first line's entry is a Header. An append
// succeeds once it is written and fsynced. A torn last line, as left by a power cut, is
// dropped on opening; reading stops at damage before the last line.
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
	// FormatVersion is the version of the file format.
	FormatVersion = 1
	// MaxEntrySize bounds the size of an entry, in bytes.
	MaxEntrySize = 64 << 20
	// MaxFileSize bounds the size of a file that is read; a record is compacted far below it.
	MaxFileSize = 256 << 20
)

// Header is the first entry of a file.
type Header struct {
	FormatVersion int    `json:"otteragent_record"`
	Owner         string `json:"owner"`
}

// FS is the part of a file system that a record needs; tests substitute failing disks.
type FS interface {
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	// SyncDir makes renames in a directory durable.
	SyncDir(name string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OS is the system's file system.
type OS struct{}

// ReadFile implements FS; a file larger than MaxFileSize is an error.
func (OS) ReadFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > MaxFileSize {
		return nil, fmt.Errorf("%s: %d bytes, at most %d are allowed", name, info.Size(), MaxFileSize)
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
		return nil, err // not a File that holds a nil pointer
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

// Log is an open record. It is not safe for concurrent use.
type Log struct {
	fs     FS
	path   string
	header Header
	file   File  // nil while the record is broken
	size   int64 // of the valid part
	err    error // why the record is broken
}

// OpenReport reports what Open met besides valid entries.
type OpenReport struct {
	Created   bool   // there was no file
	TornBytes int    // bytes of a torn last line that were dropped
	MovedTo   string // where a damaged file was moved; entries before the damage were read
	Reason    string // what was wrong with it
}

// Open reads the file at path, passing each entry to read in order, and opens it for
// appends. An entry that read refuses counts as damage. A damaged file is moved aside;
// the caller should then call Rewrite with its state, as the new file is empty until
// then. An error means that the file can't be read or written at all.
func Open(fsys FS, path, owner string, read func(json.RawMessage) error) (*Log, OpenReport, error) {
	l := &Log{fs: fsys, path: path, header: Header{FormatVersion, owner}}
	text, err := fsys.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return l, OpenReport{Created: true}, l.Rewrite(nil)
	}
	if err != nil {
		return nil, OpenReport{}, fmt.Errorf("record: %w", err)
	}
	valid, damage := scan(text, func(line int, entry json.RawMessage) error {
		if line > 1 {
			return read(entry)
		}
		var h Header
		if err := json.Unmarshal(entry, &h); err != nil {
			return err
		}
		if h.FormatVersion != FormatVersion {
			return fmt.Errorf("format %d, this program reads format %d", h.FormatVersion, FormatVersion)
		}
		if h.Owner != owner {
			return fmt.Errorf("it is the record of %q, not of %q", h.Owner, owner)
		}
		return nil
	})
	if damage == nil && valid > 0 {
		f, err := fsys.Append(path)
		if err != nil {
			return nil, OpenReport{}, fmt.Errorf("record: %w", err)
		}
		l.file, l.size = f, int64(valid)
		torn := len(text) - valid
		if torn > 0 {
			if err := f.Truncate(l.size); err != nil {
				f.Close()
				return nil, OpenReport{}, fmt.Errorf("record %s: dropping a torn last line: %w", path, err)
			}
		}
		return l, OpenReport{TornBytes: torn}, nil
	}
	if damage == nil {
		damage = errors.New("no complete first line")
	}
	aside := path + ".damaged"
	for n := 2; ; n++ { // keep earlier damaged files for diagnosis
		if _, err := fsys.ReadFile(aside); errors.Is(err, fs.ErrNotExist) {
			break
		}
		aside = path + ".damaged-" + strconv.Itoa(n)
	}
	if err := fsys.Rename(path, aside); err != nil {
		return nil, OpenReport{}, fmt.Errorf("record %s is damaged (%w) and can't be moved aside: %w", path, damage, err)
	}
	return l, OpenReport{MovedTo: aside, Reason: damage.Error()}, l.Rewrite(nil)
}

// Read passes the entries of the file at path, without its header, to read, and does not modify
// the file. A torn last line is skipped; damage before it is an error.
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

// prefixLen is the length of the prefix before an entry on its line.
const prefixLen = 18

// errJoinedLines means that a line holds more than one entry: the line feed between them is
// lost, which a torn write can't cause.
var errJoinedLines = errors.New("entry is longer than its stated length")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// scan passes the entries of a text to entry. It returns the length of the valid part, and
// an error if what follows is more than a torn last line.
func scan(text []byte, entry func(line int, e json.RawMessage) error) (valid int, err error) {
	for line := 1; valid < len(text); line++ {
		rest := text[valid:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return valid, nil // torn
		}
		e, err := parseLine(rest[:end])
		if err == nil {
			err = entry(line, e)
		} else if valid+end+1 == len(text) && line > 1 && !errors.Is(err, errJoinedLines) {
			return valid, nil // a torn last line may be complete but wrong, as pages reach the disk in any order
		}
		if err != nil {
			return valid, fmt.Errorf("line %d: %w", line, err)
		}
		valid += end + 1
	}
	return valid, nil
}

func parseLine(line []byte) (json.RawMessage, error) {
	if len(line) < prefixLen || line[8] != ' ' || line[17] != ' ' {
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
	e := line[prefixLen:]
	switch {
	case uint64(len(e)) > length:
		return nil, errJoinedLines
	case uint64(len(e)) < length:
		return nil, errors.New("entry is shorter than its stated length")
	}
	if crc32.Checksum(e, castagnoli) != uint32(sum) {
		return nil, errors.New("checksum does not fit")
	}
	return e, nil
}

// encode returns an entry's line.
func encode(v any) ([]byte, error) {
	e, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if len(e) > MaxEntrySize {
		return nil, fmt.Errorf("record: an entry of %d bytes, at most %d are allowed", len(e), MaxEntrySize)
	}
	return fmt.Appendf(make([]byte, 0, len(e)+prefixLen+1), "%08x %08x %s\n", crc32.Checksum(e, castagnoli), len(e), e), nil
}

// Append writes an entry to the disk. On an error the entry is not in the record: a
// partial write is truncated, and if that fails, or fsync does, the record is broken
// until a Rewrite succeeds.
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
			l.markBroken(err)
		}
		return fmt.Errorf("record %s: %w", l.path, err)
	}
	if err := l.file.Sync(); err != nil {
		// After a failed fsync the kernel may mark pages clean that never reached
		// the disk, so this file must not be appended to.
		l.markBroken(err)
		return fmt.Errorf("record %s: %w", l.path, err)
	}
	l.size += int64(len(line))
	return nil
}

func (l *Log) markBroken(err error) {
	l.err = err
	l.file.Close()
	l.file = nil
}

// Rewrite replaces the file by one that holds only the given entry, or none if v is nil.
// The old file stays in place until the new one is completely on the disk.
func (l *Log) Rewrite(v any) error {
	content, err := encode(l.header)
	if err != nil {
		return err
	}
	if v != nil {
		line, err := encode(v)
		if err != nil {
			return err
		}
		content = append(content, line...)
	}
	f, err := replace(l.fs, l.path, content)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size, l.err = f, int64(len(content)), nil
	if err := l.fs.SyncDir(filepath.Dir(l.path)); err != nil {
		l.markBroken(err) // after a power cut the name may still refer to the old file
		return fmt.Errorf("record %s: %w", l.path, err)
	}
	return nil
}

// replace replaces a file's content, and returns the file, open at its end. The old file stays in
// place until the new one is completely on the disk; the caller makes the rename durable by SyncDir.
func replace(fsys FS, path string, text []byte) (File, error) {
	temp := path + ".new"
	f, err := fsys.Create(temp)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = fsys.Rename(temp, path)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("record %s: %w", path, err)
	}
	return f, nil
}

// Replace durably replaces a file by one with the given content, in any format.
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

// Size returns the file's length in bytes.
func (l *Log) Size() int64 { return l.size }

// Err returns why the record is broken; nil if it is not.
func (l *Log) Err() error { return l.err }

// Close closes the file; later appends fail.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file, l.err = nil, errClosed
	return err
}

var errClosed = errors.New("closed")
