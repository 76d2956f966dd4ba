// Package tomlfile reads the project's TOML files and says all that is wrong with
// one, each with file, line and key.
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

// most bounds a file: far above any that a person writes.
const most = 4 << 20

// Duration is a time with its unit, as in "500ms"; a number alone is none.
type Duration struct{ time.Duration }

// UnmarshalText reads one; it must not be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no time such as \"500ms\" or \"30s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File is a file that was read, for checks that name the place.
type File struct {
	path  string
	lines map[string]int // dotted key: its line
	errs  []error
}

// Load reads a file into a pointer to a struct. Unknown keys are errors. What it
// returns beside an error still serves for further checks, so that all that is
// wrong is told at once: call Err last.
func Load(path string, into any) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > most {
		return nil, fmt.Errorf("configuration %s: %d bytes, at most %d are read", path, info.Size(), most)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(path, text, into), nil
}

// Parse is Load for a text that stands in no file yet.
func Parse(path string, text []byte, into any) *File {
	f := &File{path: path, lines: lines(text)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(into)
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		known := keys(reflect.TypeOf(into).Elem(), "")
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			f.errs = append(f.errs, fmt.Errorf("%s:%d: %s: unknown key%s", path, row, key, suggest(key, known)))
		}
	case errors.As(err, &one):
		row, column := one.Position()
		f.errs = append(f.errs, fmt.Errorf("%s:%d:%d: %s: %s", path, row, column, strings.Join(one.Key(), "."), strings.TrimPrefix(one.Error(), "toml: ")))
	case err != nil:
		f.errs = append(f.errs, fmt.Errorf("%s: %w", path, err))
	}
	return f
}

// Bad notes what is wrong with a key; an element of an array of tables is named
// as in "instance[2].name" or "web[1].server[2].address", counted from 1.
func (f *File) Bad(key, format string, args ...any) {
	line := f.lines[key]
	if table, _, ok := cutLast(key); line == 0 && ok {
		line = f.lines[table] // the key is missing: its table's line
	}
	place := f.path
	if line > 0 {
		place = fmt.Sprintf("%s:%d", f.path, line)
	}
	f.errs = append(f.errs, fmt.Errorf("%s: %s: %s", place, key, fmt.Sprintf(format, args...)))
}

// Has tells whether the file gives a key.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

// Err joins all that is wrong; nil if nothing is.
func (f *File) Err() error { return errors.Join(f.errs...) }

func cutLast(key string) (before, after string, ok bool) {
	i := strings.LastIndexByte(key, '.')
	if i < 0 {
		return "", key, false
	}
	return key[:i], key[i+1:], true
}

// lines finds the line of each key, as far as the text can be read.
func lines(text []byte) map[string]int {
	found, counts := map[string]int{}, map[string]int{}
	// within gives a table's name with the place of each array of tables that it is in.
	within := func(name string) string {
		parts := strings.Split(name, ".")
		full := parts[0]
		for _, part := range parts[1:] {
			if n := counts[full]; n > 0 {
				full = fmt.Sprintf("%s[%d]", full, n)
			}
			full = join(full, part)
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
			name = join(name, string(n.Data))
		}
		switch e.Kind {
		case unstable.Table:
			table = within(name)
		case unstable.ArrayTable:
			name = within(name)
			counts[name]++
			table = fmt.Sprintf("%s[%d]", name, counts[name])
		default:
			found[join(table, name)] = line
			continue
		}
		found[table] = line
	}
	return found
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// keys lists the dotted keys that a struct takes.
func keys(t reflect.Type, prefix string) []string {
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
		name = join(prefix, name)
		all = append(append(all, name), keys(field.Type, name)...)
	}
	return all
}

// suggest names the known key that is nearest, if one is near enough.
func suggest(key string, known []string) string {
	best, least := "", max(2, len(key)/4)+1
	for _, k := range known {
		if d := distance(key, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %s?", best)
}

// distance is Levenshtein's: single characters put in, left out or changed.
func distance(a, b string) int {
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

// Size is a number of bytes with its unit, as in "64KiB"; a number alone is bytes.
type Size struct{ Bytes int }

// UnmarshalText reads one.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > 1<<40 {
		return fmt.Errorf("%q is no size such as \"64KiB\" or \"1MiB\"", text)
	}
	s.Bytes = int(n)
	return nil
}
