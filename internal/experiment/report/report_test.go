package report

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"otterstep/internal/experiment"
	"otterstep/internal/standin/racedetector"
)

// A report is one self-contained file with four well-formed plots per section and each
// run's results.
func TestReport(t *testing.T) {
	racedetector.Skip(t)
	var sections []Section
	for _, name := range []string{"hang", "calm"} {
		x, err := experiment.Load("../../../experiments/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		runs, err := x.Run(t.Context(), 1, 2)
		if err != nil {
			t.Fatal(err)
		}
		sections = append(sections, Section{name + " <&>", x, runs})
	}
	path := filepath.Join(t.TempDir(), "r.html")
	if err := Write(path, "All of it", sections); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, want := range []string{"hang &lt;&amp;&gt;", "seconds since the start", "within the aim", "p99", sections[0].Runs[1].Results.Digest} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if n := strings.Count(page, "<svg"); n != 8 {
		t.Errorf("%d plots", n)
	}
	for _, outside := range []string{"<script", "<link", "<img", "url("} {
		if strings.Contains(page, outside) {
			t.Errorf("the page contains %q", outside)
		}
	}
	for _, svg := range strings.SplitAfter(page, "</svg>")[:8] {
		d := xml.NewDecoder(strings.NewReader(svg[strings.Index(svg, "<svg"):]))
		for {
			if _, err := d.Token(); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatalf("a plot can't be read: %v", err)
			}
		}
	}
	if err := Write(filepath.Join(t.TempDir(), "none", "r.html"), "", sections); err == nil {
		t.Error("a report was written into a missing directory")
	}
	left, err := filepath.Glob(filepath.Join(filepath.Dir(path), "*"))
	if err != nil || len(left) != 1 {
		t.Errorf("files left in the directory: %v, %v", left, err)
	}
}
