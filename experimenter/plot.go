package experimenter

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ErrNoCurves is returned if a result without curves is plotted.
var ErrNoCurves = errors.New("experimenter: result has no curves")

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// WritePNG plots the curves and writes the plot to w as a PNG image. It returns
// ErrNoCurves if there are none, and panics if a curve has fewer Y than X values.
func (r Result) WritePNG(w io.Writer) error {
	if len(r.Curves) == 0 {
		return errors.Wrapf(ErrNoCurves, "%q", r.Name)
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (seed %d)", r.Name, r.Seed)
	p.X.Label.Text, p.Y.Label.Text = r.XAxis, r.YAxis
	p.Legend.Top, p.Legend.Left = true, true
	for i, c := range r.Curves {
		points := make(plotter.XYs, len(c.X))
		for j := range c.X {
			points[j].X, points[j].Y = c.X[j], c.Y[j]
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrapf(err, "experimenter: invalid points of curve %q", c.Label)
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(c.Label, line, marks)
	}
	to, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return errors.Wrap(err, "experimenter: draw plot")
	}
	_, err = to.WriteTo(w)
	return errors.Wrap(err, "experimenter: write plot")
}
