package burn

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the chart.
const (
	maxBars        = 15
	plotWidth      = 9 * vg.Inch
	rowHeight      = 0.32 * vg.Inch
	plotMargin     = 1.4 * vg.Inch
	barFraction    = 0.6
	maxLabelLength = 48
)

// Save writes a chart of the service levels with the highest burn rates. The file extension, .svg
// or .png, selects the format.
func (r *Report) Save(file string) error {
	top := r.Levels[:min(maxBars, len(r.Levels))]
	if len(top) == 0 {
		return fmt.Errorf("burn: no requests to draw")
	}
	p := plot.New()
	p.Title.Text = "Service-level burn over the last hour (1 uses up the budget)"
	p.X.Label.Text = "burn rate"
	p.X.Min = 0
	values := make(plotter.Values, len(top))
	labels := make([]string, len(top))
	for i := range top {
		l := top[len(top)-1-i]
		values[i] = l.Long
		labels[i] = label(l)
	}
	bars, err := plotter.NewBarChart(values, rowHeight*barFraction)
	if err != nil {
		return fmt.Errorf("burn: draw: %w", err)
	}
	bars.Horizontal = true
	bars.Color = color.RGBA{R: 0x3b, G: 0x6e, B: 0xa8, A: 0xff}
	bars.LineStyle.Width = 0
	p.Add(plotter.NewGrid(), bars)
	p.NominalY(labels...)
	p.X.Max = max(1, values[len(values)-1]) * 1.05
	if err := p.Save(plotWidth, plotMargin+vg.Length(len(top))*rowHeight, file); err != nil {
		return fmt.Errorf("burn: save %s: %w", file, err)
	}
	return nil
}

func label(l ServiceLevel) string {
	text := l.Account + " " + l.Model + " " + l.Objective
	if len(text) > maxLabelLength {
		text = text[:maxLabelLength]
	}
	return text
}
