package report

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
)

const (
	plotWidth   = 26 * vg.Centimeter
	plotHeight  = 18 * vg.Centimeter
	plotPadding = 5 * vg.Millimeter
	lineWidth   = vg.Length(1.5)
	labelOffset = 3 * vg.Millimeter
	legendGap   = vg.Millimeter
	// legendRoom multiplies the top of a logarithmic axis, so that the legend is drawn above the lines.
	legendRoom = 4
	// minLatencyMS is the lowest latency that is drawn, because a logarithmic axis has no zero.
	minLatencyMS    = 0.1
	plottedQuantile = 0.99
)

var (
	blue   = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	orange = color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}
	green  = color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}
	red    = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
	grey   = color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff}
)

// SavePlot draws two plots over the intended start of requests: above, answers per second by outcome; below, the 99th
// percentile of the latency of each class. The extension of path, .svg or .png, selects the format.
func (r *Report) SavePlot(path string) error {
	upper, err := r.plotOutcomes()
	if err != nil {
		return err
	}
	lower, err := r.plotLatency()
	if err != nil {
		return err
	}
	var target vg.CanvasWriterTo
	switch strings.ToLower(filepath.Ext(path)) {
	case ".svg":
		target = vgsvg.New(plotWidth, plotHeight)
	case ".png":
		target = vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	default:
		return eris.Errorf("plot %s: expected the extension .svg or .png", path)
	}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadX: plotPadding, PadY: plotPadding,
		PadTop: plotPadding, PadBottom: plotPadding, PadLeft: plotPadding, PadRight: plotPadding}
	plots := [][]*plot.Plot{{upper}, {lower}}
	for i, canvas := range plot.Align(plots, tiles, draw.New(target)) {
		plots[i][0].Draw(canvas[0])
	}
	return save(path, target)
}

func save(path string, canvas vg.CanvasWriterTo) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "save plot")
	}
	defer func() { _ = file.Close() }()
	_, err = canvas.WriteTo(file)
	return eris.Wrap(err, "save plot")
}

func (r *Report) plotOutcomes() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Name
	p.Y.Label.Text = "requests a second"
	series := []struct {
		name    string
		color   color.Color
		matches func(callers.Outcome) bool
	}{
		{"answered whole", green, func(o callers.Outcome) bool { return o == callers.Done }},
		{"refused, not run", orange, func(o callers.Outcome) bool { return o == callers.NotRun }},
		{"failed", red, func(o callers.Outcome) bool { return o != callers.Done && o != callers.NotRun }},
	}
	for _, s := range series {
		counts := make(plotter.XYs, r.secondCount())
		for i := range counts {
			counts[i].X = float64(i)
		}
		for _, sample := range r.samples {
			if s.matches(sample.Outcome) {
				counts[secondOf(sample)].Y++
			}
		}
		if err := addLine(p, s.name, s.color, counts); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	return p, r.addSteps(p)
}

func (r *Report) plotLatency() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "intended start in s since the start of the run"
	p.Y.Label.Text = "p99 latency in ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	colors := map[class.Class]color.Color{class.Feed: grey, class.Short: blue, class.Long: orange}
	for _, c := range class.All {
		if err := addLine(p, c.String(), colors[c], r.p99BySecond(c)); err != nil {
			return nil, err
		}
	}
	p.Y.Max *= legendRoom
	return p, r.addSteps(p)
}

// p99BySecond returns the 99th percentile of the latency of complete answers of a class, for each second that has any.
func (r *Report) p99BySecond(c class.Class) plotter.XYs {
	bySecond := make([][]time.Duration, r.secondCount())
	for _, s := range r.samples {
		if s.Class == c && s.Outcome == callers.Done {
			bySecond[secondOf(s)] = append(bySecond[secondOf(s)], s.Latency)
		}
	}
	var points plotter.XYs
	for i, latencies := range bySecond {
		if len(latencies) == 0 {
			continue
		}
		slices.Sort(latencies)
		top := latencies[int(plottedQuantile*float64(len(latencies)-1))]
		ms := float64(top.Microseconds()) / microsecondsPerMS
		points = append(points, plotter.XY{X: float64(i), Y: math.Max(ms, minLatencyMS)})
	}
	return points
}

func (r *Report) secondCount() int {
	last := 0
	for _, s := range r.samples {
		last = max(last, secondOf(s))
	}
	return last + 1
}

func secondOf(s Sample) int {
	return int(s.At / time.Second)
}

func addLine(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return eris.Wrapf(err, "plot %s", name)
	}
	line.Color = c
	line.Width = lineWidth
	dots.Color = c
	dots.Shape = draw.CircleGlyph{}
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	p.Legend.Top = true
	p.Legend.Padding = legendGap
	return nil
}

// addSteps draws a vertical line with the name of the step at each step of the run.
func (r *Report) addSteps(p *plot.Plot) error {
	bottom, top := p.Y.Min, p.Y.Max
	for _, s := range r.Steps {
		line, err := plotter.NewLine(plotter.XYs{{X: s.AtS, Y: bottom}, {X: s.AtS, Y: top}})
		if err != nil {
			return eris.Wrapf(err, "plot step %s", s.Name)
		}
		line.Color = grey
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: s.AtS, Y: bottom}}, Labels: []string{s.Name}})
		if err != nil {
			return eris.Wrapf(err, "plot step %s", s.Name)
		}
		labels.TextStyle[0].Rotation = math.Pi / 2
		labels.Offset.X = labelOffset
		p.Add(line, labels)
	}
	return nil
}
