// Package report writes the results of experiments, with plots, as one self-contained HTML
// file.
package report

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"otterstep/internal/experiment"
)

// Section is one section of a report: an experiment and its runs.
type Section struct {
	Title      string
	Experiment *experiment.Experiment
	Runs       []experiment.Run
}

// Write writes a report to a file, atomically.
func Write(path, title string, sections []Section) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer os.Remove(file.Name()) // no effect once the file is renamed
	if err := writePage(file, title, sections); err != nil {
		file.Close()
		return fmt.Errorf("report %s: %w", path, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("report %s: %w", path, err)
	}
	if err := os.Chmod(file.Name(), 0o644); err != nil {
		return fmt.Errorf("report %s: %w", path, err)
	}
	return os.Rename(file.Name(), path)
}

type pageRow struct {
	Seed                     uint64
	Asked                    uint64
	Share, Attempts          string
	P50, P99                 time.Duration
	Ends, Failed, Digest     string
	Held                     bool
	Seconds                  int
	FirstBroken, BrokenRules string
}

type pageSection struct {
	Title, About, Seed string
	Rows               []pageRow
	Plots              []template.HTML
}

func writePage(w io.Writer, title string, parts []Section) error {
	var sections []pageSection
	for _, p := range parts {
		s := pageSection{Title: p.Title, About: p.Experiment.File.Description, Seed: fmt.Sprint(p.Runs[0].Seed)}
		for _, r := range p.Runs {
			s.Rows = append(s.Rows, pageRow{
				Seed: r.Seed, Asked: r.Results.Asked, Share: fmt.Sprintf("%.4f", r.Share), Attempts: fmt.Sprintf("%.3f", r.Results.PerRequest()),
				P50: r.Results.P50.Round(100 * time.Microsecond), P99: r.Results.P99.Round(100 * time.Microsecond),
				Ends: formatOutcomes(r), Failed: strings.Join(r.Failed, "; "), Digest: r.Results.Digest, Held: len(r.Failed) == 0,
			})
		}
		plots, err := drawPlots(p.Experiment, p.Runs[0])
		if err != nil {
			return err
		}
		s.Plots = plots
		sections = append(sections, s)
	}
	return pageTemplate.Execute(w, map[string]any{"Title": title, "Sections": sections})
}

// formatOutcomes lists how many requests had each outcome, the most frequent first.
func formatOutcomes(r experiment.Run) string {
	outcomes := slices.SortedFunc(maps.Keys(r.Results.Ends), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Results.Ends[b], r.Results.Ends[a]), cmp.Compare(a, b))
	})
	for i, outcome := range outcomes {
		outcomes[i] = fmt.Sprintf("%s %d", outcome, r.Results.Ends[outcome])
	}
	return strings.Join(outcomes, ", ")
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body { font: 15px/1.5 sans-serif; max-width: 72rem; margin: 2rem auto; padding: 0 1rem; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; font-size: 13px; }
th, td { text-align: left; padding: .25rem .75rem .25rem 0; border-bottom: 1px solid #ddd; vertical-align: top; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(30rem, 1fr)); gap: 1rem; }
.plots svg { width: 100%; height: auto; } .no { color: #b00020; }
</style></head><body><h1>{{.Title}}</h1>
{{range .Sections}}<h2>{{.Title}}</h2><p>{{.About}}</p>
<table><tr><th>seed</th><th>asked</th><th>within aim</th><th>p50</th><th>p99</th><th>attempts a request</th><th>ends</th><th>held</th><th>digest</th></tr>
{{range .Rows}}<tr><td>{{.Seed}}</td><td>{{.Asked}}</td><td>{{.Share}}</td><td>{{.P50}}</td><td>{{.P99}}</td><td>{{.Attempts}}</td><td>{{.Ends}}</td>
<td>{{if .Held}}yes{{else}}<span class="no">{{.Failed}}</span>{{end}}</td><td>{{.Digest}}</td></tr>
{{end}}</table><p>Plots of seed {{.Seed}}; bands are faults.</p><div class="plots">
{{range .Plots}}<figure>{{.}}</figure>
{{end}}</div>{{end}}</body></html>
`))
