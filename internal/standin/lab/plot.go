package lab

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

// returnColors differ in brightness too (Okabe and Ito's palette).
var returnColors = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff},
	color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0xcc, 0x79, 0xa7, 0xff}, color.RGBA{0x33, 0x33, 0x33, 0xff},
}

// NamedResult is a RestartResult with its name in the legend of a plot.
type NamedResult struct {
	Name string
	RestartResult
	Dashed bool
}

// PlotRestarts plots the share of instances that serve over time and writes it to an SVG file.
func PlotRestarts(path string, all []NamedResult) error {
	var series []Series
	for _, r := range all {
		s := Series{Name: r.Name, Dashed: r.Dashed, Color: len(series) / 2}
		for _, at := range r.Served {
			s.X, s.Y = append(s.X, at.At.Seconds()), append(s.Y, at.Fraction)
		}
		series = append(series, s)
	}
	return Axes{"Share of instances serving, after all processes were killed", "seconds since the last agent's start", "share"}.Plot(path, series)
}

// Series is a line of a plot. X and Y have the same length.
type Series struct {
	Name   string
	X, Y   []float64
	Color  int
	Dashed bool
}

// Axes has the title of a plot and the labels of its axes.
type Axes struct{ Title, X, Y string }

// Plot plots the series as step functions and writes the plot to an SVG file.
func (a Axes) Plot(path string, all []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = a.Title, a.X, a.Y
	p.Y.Min, p.Y.Max, p.X.Min = 0, 1.05, 0
	p.Legend.Left = false
	p.Add(plotter.NewGrid())
	for _, s := range all {
		xy := make(plotter.XYs, len(s.X))
		for i := range xy {
			xy[i].X, xy[i].Y = s.X[i], s.Y[i]
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("lab: plot: %w", err)
		}
		line.StepStyle = plotter.PostStep
		line.Color, line.Width = returnColors[s.Color%len(returnColors)], vg.Points(1.2)
		if s.Dashed {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	svg, err := p.WriterTo(18*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return fmt.Errorf("lab: plot: %w", err)
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("lab: plot: %w", err)
	}
	if _, err := svg.WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("lab: plot: %w", err)
	}
	return f.Close()
}
