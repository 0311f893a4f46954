package burn

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of the picture.
const (
	plotted     = 15
	plotWidth   = 9 * vg.Inch
	rowHeight   = 0.32 * vg.Inch
	plotMargin  = 1.4 * vg.Inch
	barPart     = 0.6
	labelLength = 48
)

// Save draws the levels that burn fastest to a file; its ending, .svg or
// .png, gives the format.
func (r *Report) Save(file string) error {
	worst := r.Levels[:min(plotted, len(r.Levels))]
	if len(worst) == 0 {
		return fmt.Errorf("burn: nothing was counted yet, so there is nothing to draw")
	}
	p := plot.New()
	p.Title.Text = "Service-level burn over the last hour (1 uses up the budget)"
	p.X.Label.Text = "burn rate"
	p.X.Min = 0
	values := make(plotter.Values, len(worst))
	labels := make([]string, len(worst))
	for i := range worst {
		l := worst[len(worst)-1-i]
		values[i] = l.Long
		labels[i] = label(l)
	}
	bars, err := plotter.NewBarChart(values, rowHeight*barPart)
	if err != nil {
		return fmt.Errorf("burn: draw: %w", err)
	}
	bars.Horizontal = true
	bars.Color = color.RGBA{R: 0x3b, G: 0x6e, B: 0xa8, A: 0xff}
	bars.LineStyle.Width = 0
	p.Add(plotter.NewGrid(), bars)
	p.NominalY(labels...)
	p.X.Max = max(1, values[len(values)-1]) * 1.05
	if err := p.Save(plotWidth, plotMargin+vg.Length(len(worst))*rowHeight, file); err != nil {
		return fmt.Errorf("burn: save %s: %w", file, err)
	}
	return nil
}

func label(l ServiceLevel) string {
	text := l.Account + " " + l.Model + " " + l.Objective
	if len(text) > labelLength {
		text = text[:labelLength]
	}
	return text
}
