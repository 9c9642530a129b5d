package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
)

// Plot is a line chart with one line per series.
type Plot struct {
	Name   string   `json:"name"` // part of the file name
	Title  string   `json:"title"`
	XLabel string   `json:"x_label"`
	YLabel string   `json:"y_label"`
	Series []Series `json:"series"`
}

// Series is one line of a plot.
type Series struct {
	Name string    `json:"name"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// write writes the plot as a PNG and an SVG file, named after the run and the plot.
func (p *Plot) write(dir, run string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	var lines []any
	for _, s := range p.Series {
		points := make(plotter.XYs, len(s.X))
		for i := range s.X {
			points[i].X, points[i].Y = s.X[i], s.Y[i]
		}
		lines = append(lines, s.Name, points)
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return err
	}
	for _, suffix := range []string{".png", ".svg"} {
		if err := chart.Save(plotWidth, plotHeight, filepath.Join(dir, run+"-"+p.Name+suffix)); err != nil {
			return err
		}
	}
	return nil
}

// plotLoad adds a plot of the offered, answered and refused requests of a load over time.
func (r *Report) plotLoad(name string, l *caller.LoadResult) {
	p := Plot{Name: name, Title: l.Name, XLabel: "seconds", YLabel: "requests a second"}
	series := []Series{{Name: "offered"}, {Name: "answered in time"}, {Name: "refused"}}
	perSecond := 1000 / float64(max(l.SlotMS, 1))
	for i, slot := range l.Slots {
		x := float64(i) / perSecond
		for j, y := range []uint64{slot.Offered, slot.Goodput, slot.Refused} {
			series[j].X = append(series[j].X, x)
			series[j].Y = append(series[j].Y, float64(y)*perSecond)
		}
	}
	p.Series = series
	r.Plots = append(r.Plots, p)
}
