package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the format

	"otterstep/internal/experiment"
	"otterstep/internal/sim"
)

// Colours that are told apart also by brightness (from Okabe and Ito's palette).
var (
	blue       = color.RGBA{0x00, 0x72, 0xb2, 0xff}
	orange     = color.RGBA{0xe6, 0x9f, 0x00, 0xff}
	red        = color.RGBA{0xd5, 0x5e, 0x00, 0xff}
	green      = color.RGBA{0x00, 0x9e, 0x73, 0xff}
	faultColor = color.RGBA{0x00, 0x00, 0x00, 0x14}
)

const width, height = 16 * vg.Centimeter, 8 * vg.Centimeter

// line is one line of a plot over the seconds of a run; NaN leaves a gap.
type line struct {
	name  string
	color color.Color
	value func(sim.Second) float64
}

// drawPlots returns the plots of a run as SVG.
func drawPlots(x *experiment.Experiment, r experiment.Run) ([]template.HTML, error) {
	ratio := func(n, of uint64) float64 {
		if of == 0 {
			return math.NaN()
		}
		return float64(n) / float64(of)
	}
	ms := func(d time.Duration) float64 {
		if d == 0 {
			return math.NaN()
		}
		return float64(d) / float64(time.Millisecond)
	}
	rate := func(n uint64) float64 { return float64(n) }
	drawers := []func() (*plot.Plot, error){
		func() (*plot.Plot, error) {
			return plotOverTime(x, r, "How requests ended, by when they began", "share of the requests", 1, []line{
				{"within the aim", blue, func(s sim.Second) float64 { return ratio(s.Within, s.Asked) }},
				{"refused", orange, func(s sim.Second) float64 { return ratio(s.Refused, s.Asked) }},
				{"failed", red, func(s sim.Second) float64 { return ratio(s.Failed, s.Asked) }},
			})
		},
		func() (*plot.Plot, error) {
			return plotOverTime(x, r, "Time until served", "ms", 0, []line{
				{"p99", red, func(s sim.Second) float64 { return ms(s.P99) }},
				{"median", blue, func(s sim.Second) float64 { return ms(s.P50) }},
			})
		},
		func() (*plot.Plot, error) {
			return plotOverTime(x, r, "Requests a second", "a second", 0, []line{
				{"attempts at servers", red, func(s sim.Second) float64 { return rate(s.Attempts) }},
				{"requests at nodes", orange, func(s sim.Second) float64 { return rate(s.Tries) }},
				{"wanted by clients", blue, func(s sim.Second) float64 { return rate(s.Asked) }},
			})
		},
		func() (*plot.Plot, error) { return plotServerWork(x, r) },
	}
	var svgs []template.HTML
	for _, d := range drawers {
		p, err := d()
		if err != nil {
			return nil, err
		}
		svg, err := p.WriterTo(width, height, "svg")
		if err != nil {
			return nil, err
		}
		var text bytes.Buffer
		if _, err := svg.WriteTo(&text); err != nil {
			return nil, err
		}
		from := max(0, bytes.Index(text.Bytes(), []byte("<svg"))) // without the XML declaration
		svgs = append(svgs, template.HTML(text.Bytes()[from:]))   //nolint:gosec // generated here; vgsvg escapes the names
	}
	return svgs, nil
}

func plotOverTime(x *experiment.Experiment, r experiment.Run, title, unit string, yMax float64, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds since the start", unit
	p.Legend.Top, p.Legend.Left = true, false
	p.Legend.YOffs = -4
	p.Add(plotter.NewGrid())
	p.Y.Min, p.X.Min = 0, 0
	p.X.Max = math.Max(1, float64(len(r.Results.Seconds)))
	highest := 0.0
	for _, l := range lines {
		var points plotter.XYs
		var segments []plotter.XYs
		for n, s := range r.Results.Seconds {
			v := l.value(s)
			if math.IsNaN(v) {
				if len(points) > 0 {
					segments, points = append(segments, points), nil
				}
				continue
			}
			highest = math.Max(highest, v)
			points = append(points, plotter.XY{X: float64(n) + 0.5, Y: v})
		}
		if len(points) > 0 {
			segments = append(segments, points)
		}
		for i, segment := range segments {
			drawn, err := plotter.NewLine(segment)
			if err != nil {
				return nil, fmt.Errorf("plot %q: %w", title, err)
			}
			drawn.Color, drawn.Width = l.color, vg.Points(1.5)
			p.Add(drawn)
			if i == 0 {
				p.Legend.Add(l.name, drawn)
			}
		}
	}
	if yMax == 0 {
		yMax = math.Max(highest, 1)
	}
	p.Y.Max = yMax * 1.5 // room for the legend
	for _, f := range x.File.Fault {
		end := p.X.Max
		if f.Duration.Duration > 0 {
			end = math.Min(end, (f.At.Duration + f.Duration.Duration).Seconds())
		}
		at := math.Min(f.At.Seconds(), end)
		box, err := plotter.NewPolygon(plotter.XYs{{X: at, Y: 0}, {X: end, Y: 0}, {X: end, Y: yMax}, {X: at, Y: yMax}})
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", title, err)
		}
		box.Color, box.LineStyle.Width = faultColor, 0
		p.Add(box)
	}
	return p, nil
}

// plotServerWork plots the share of its capacity that each server used.
func plotServerWork(x *experiment.Experiment, r experiment.Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Work of each server", "share of what it can take"
	p.X.Label.Text = "servers, in their order"
	capacity := x.File.Duration.Seconds() * float64(x.File.Fleet.Parallel)
	names := slices.SortedFunc(maps.Keys(r.Results.Work), func(a, b string) int { return serverNumber(a) - serverNumber(b) })
	var values plotter.Values
	for _, name := range names {
		values = append(values, r.Results.Work[name].Seconds()/capacity)
	}
	bars, err := plotter.NewBarChart(values, vg.Length(math.Max(0.5, 300/float64(len(values)))))
	if err != nil {
		return nil, fmt.Errorf("plot of work: %w", err)
	}
	bars.Color, bars.LineStyle.Width = green, 0
	p.Add(plotter.NewGrid(), bars)
	p.Y.Min, p.Y.Max = 0, math.Max(0.01, 1.1*slices.Max(values))
	p.X.Min, p.X.Max = -0.7, float64(len(values))-0.3
	return p, nil
}

// serverNumber returns the number in a server's name, such as 12 for "s12".
func serverNumber(name string) int {
	n, _ := strconv.Atoi(strings.TrimLeft(name, "s")) // another name sorts first
	return n
}
