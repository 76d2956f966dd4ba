// Package tomlfile reads the project's TOML files and reports all errors of a file at once,
// each with file, line and key.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFileSize is far above the size of any hand-written file.
const maxFileSize = 4 << 20

// Duration is a duration with its unit, as in "500ms"; a number without a unit is rejected.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler. Negative durations are rejected.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a duration such as \"500ms\" or \"30s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File is a parsed file. It collects the errors of parsing and of later checks, with their positions.
type File struct {
	path  string
	lines map[string]int // line number by dotted key
	errs  []error
}

// Load reads a file into a pointer to a struct. Unknown keys are errors. Parse errors are collected
// in the File, so that the caller can run further checks and report everything at once: call Err last.
func Load(path string, into any) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("configuration %s: file is too large: %d bytes, limit is %d", path, info.Size(), maxFileSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(path, text, into), nil
}

// Parse is Load for text that is already in memory; path is used in error messages.
func Parse(path string, text []byte, into any) *File {
	f := &File{path: path, lines: keyLines(text)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(into)
	var strict *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		known := structKeys(reflect.TypeOf(into).Elem(), "")
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			f.errs = append(f.errs, fmt.Errorf("%s:%d: %s: unknown key%s", path, row, key, suggest(key, known)))
		}
	case errors.As(err, &decodeErr):
		row, column := decodeErr.Position()
		f.errs = append(f.errs, fmt.Errorf("%s:%d:%d: %s: %s", path, row, column, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: ")))
	case err != nil:
		f.errs = append(f.errs, fmt.Errorf("%s: %w", path, err))
	}
	return f
}

// Errorf records an error for a key. An element of an array of tables is named as in "instance[2].name"
// or "web[1].server[2].address", counted from 1.
func (f *File) Errorf(key, format string, args ...any) {
	line := f.lines[key]
	if table, _, ok := cutLast(key); line == 0 && ok {
		line = f.lines[table] // the key is missing: report the line of its table
	}
	position := f.path
	if line > 0 {
		position = fmt.Sprintf("%s:%d", f.path, line)
	}
	f.errs = append(f.errs, fmt.Errorf("%s: %s: %s", position, key, fmt.Sprintf(format, args...)))
}

// Has reports whether the file sets a key.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

// Err returns all recorded errors joined, or nil.
func (f *File) Err() error { return errors.Join(f.errs...) }

func cutLast(key string) (before, after string, ok bool) {
	i := strings.LastIndexByte(key, '.')
	if i < 0 {
		return "", key, false
	}
	return key[:i], key[i+1:], true
}

// keyLines returns the line number of each key, up to the first syntax error.
func keyLines(text []byte) map[string]int {
	found, counts := map[string]int{}, map[string]int{}
	// within returns a table's name with the index of each array of tables that contains it.
	qualify := func(name string) string {
		parts := strings.Split(name, ".")
		full := parts[0]
		for _, part := range parts[1:] {
			if n := counts[full]; n > 0 {
				full = fmt.Sprintf("%s[%d]", full, n)
			}
			full = joinKey(full, part)
		}
		return full
	}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := "", 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			name = joinKey(name, string(n.Data))
		}
		switch e.Kind {
		case unstable.Table:
			table = qualify(name)
		case unstable.ArrayTable:
			name = qualify(name)
			counts[name]++
			table = fmt.Sprintf("%s[%d]", name, counts[name])
		default:
			found[joinKey(table, name)] = line
			continue
		}
		found[table] = line
	}
	return found
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// structKeys returns the dotted keys that a struct accepts.
func structKeys(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var all []string
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" {
			name = strings.ToLower(field.Name)
		}
		name = joinKey(prefix, name)
		all = append(append(all, name), structKeys(field.Type, name)...)
	}
	return all
}

// suggest returns a hint with the known key that is most similar, if one is similar enough.
func suggest(key string, known []string) string {
	best, bestDistance := "", max(2, len(key)/4)+1
	for _, k := range known {
		if d := levenshtein(key, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %s?", best)
}

// levenshtein returns the Levenshtein distance: the number of single-byte insertions, deletions and substitutions.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := before
			if a[i] != b[j] {
				change++
			}
			before = row[j+1]
			row[j+1] = min(change, row[j]+1, before+1)
		}
	}
	return row[len(b)]
}

// Size is a number of bytes, with a unit as in "64KiB" or without one.
type Size struct{ Bytes int }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > 1<<40 {
		return fmt.Errorf("%q is not a size such as \"64KiB\" or \"1MiB\"", text)
	}
	s.Bytes = int(n)
	return nil
}
