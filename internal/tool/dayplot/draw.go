package dayplot

import (
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	// width is the width of the drawing, rowHeight the height of each plot.
	width     = 24 * vg.Centimeter
	rowHeight = 6 * vg.Centimeter
	// rowGap is the space between two plots.
	rowGap = 4 * vg.Millimeter
)

// curve is a named line of a plot with a value per second.
type curve struct {
	name  string
	value func(second int) float64
}

// curveColors are the colors of the curves of a plot, in order.
var curveColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
}

// Draw writes the plots of the day to a file, in the format of its extension.
func (d *Day) Draw(path string) error {
	latency, err := d.plot("latency to the first event, ms",
		curve{"p50", d.quantile(50)}, curve{"p95", d.quantile(95)})
	if err != nil {
		return err
	}
	requests, err := d.plot("requests per second", curve{"waiting", d.waiting}, curve{"refused", d.refused})
	if err != nil {
		return err
	}
	upstreams, err := d.plot("ready upstreams", curve{"upstreams", func(second int) float64 { return float64(d.readyAt(second)) }})
	if err != nil {
		return err
	}
	return save(path, latency, requests, upstreams)
}

func (d *Day) quantile(q float64) func(int) float64 {
	return func(second int) float64 {
		if s := d.seconds[second]; s != nil {
			return float64(s.latency.ValueAtQuantile(q))
		}
		return 0
	}
}

func (d *Day) waiting(second int) float64 {
	if s := d.seconds[second]; s != nil {
		return float64(s.waiting)
	}
	return 0
}

func (d *Day) refused(second int) float64 {
	if s := d.seconds[second]; s != nil {
		return float64(s.refused)
	}
	return 0
}

func (d *Day) plot(title string, curves ...curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		points := make(plotter.XYs, d.lastSecond()+1)
		for second := range points {
			points[second] = plotter.XY{X: float64(second), Y: c.value(second)}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", c.name)
		}
		l.Color = curveColors[i]
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	p.Legend.Top = true
	return p, nil
}

// save writes the plots to a file, one below the other.
func save(path string, plots ...*plot.Plot) error {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(width, rowHeight*vg.Length(len(plots)), format)
	if err != nil {
		return errors.Wrapf(err, "format of %s", path)
	}
	rows := draw.Tiles{Rows: len(plots), Cols: 1, PadY: rowGap}
	area := draw.New(canvas)
	for i, p := range plots {
		p.Draw(rows.At(area, 0, i))
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "write %s", path)
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %s", path)
	}
	return nil
}
