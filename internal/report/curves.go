package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/rotisserie/eris"
)

// Curves is a plot of values over time.
type Curves struct {
	Title, X, Y string
	// Step is the distance between two points, in the unit of the x axis.
	Step  float64
	Lines []Curve
}

// Curve is a line of a plot.
type Curve struct {
	Name   string
	Values []float64
}

// maxCurves is the number of colors that are easy to distinguish.
const maxCurves = 5

// Save draws the curves. The extension of path, .svg or .png, selects the format.
func (c Curves) Save(path string) error {
	colors := [maxCurves]color.Color{blue, orange, green, red, grey}
	if len(c.Lines) > maxCurves {
		return eris.Errorf("plot %s: %d curves, expected at most %d", path, len(c.Lines), maxCurves)
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	for i, line := range c.Lines {
		points := make(plotter.XYs, len(line.Values))
		for k, value := range line.Values {
			points[k] = plotter.XY{X: float64(k) * c.Step, Y: value}
		}
		if err := addLine(p, line.Name, colors[i], points); err != nil {
			return err
		}
	}
	p.Y.Min = 0
	return eris.Wrap(p.Save(plotWidth, plotHeight/2, path), "save plot")
}
