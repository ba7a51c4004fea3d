package accounts

import (
	"fmt"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter // of each class
	chartMargin = 4 * vg.Millimeter
	lineWidth   = 0.5 * vg.Millimeter
	// maxChartClasses bounds the height of the chart to 3 m. Deployments have ten
	// classes.
	maxChartClasses = 40
	// maxChartWindows bounds the points of a line. More of them than this cannot be told
	// apart on the width of the chart.
	maxChartWindows = 10_000
)

// series is a line of the chart.
type series struct {
	name  string
	color color.Color
	value func(c *Counts) int
}

// allSeries are the lines of each class. Requests without a target that were answered
// count as on time.
var allSeries = []series{
	{"offered", color.Gray{Y: 0x60}, func(c *Counts) int { return c.Offered }},
	{"on time", color.RGBA{G: 0x80, A: 0xff}, func(c *Counts) int { return c.OnTime + c.Answered }},
	{"late", color.RGBA{R: 0xe0, G: 0x80, A: 0xff}, func(c *Counts) int { return c.Late() }},
	{"refused", color.RGBA{R: 0xc0, A: 0xff}, func(c *Counts) int { return c.Refused }},
}

// writeChart draws one plot for each class, below each other and with the same times.
func (a *Account) writeChart(w io.Writer) error {
	if len(a.Totals) > maxChartClasses {
		return fmt.Errorf("the logs have %d classes, a chart has at most %d", len(a.Totals), maxChartClasses)
	}
	windows := a.Windows[len(a.Windows)-1].Window + 1
	if windows > maxChartWindows {
		return fmt.Errorf("the logs have %d windows, a chart has at most %d; choose a longer window", windows, maxChartWindows)
	}
	var plots [][]*plot.Plot
	for _, total := range a.Totals {
		p, err := a.plotClass(total.Class, windows)
		if err != nil {
			return err
		}
		plots = append(plots, []*plot.Plot{p})
	}
	canvas := vgsvg.New(chartWidth, chartHeight*vg.Length(len(plots)))
	tiles := draw.Tiles{
		Rows: len(plots), Cols: 1, PadY: chartMargin,
		PadTop: chartMargin, PadBottom: chartMargin, PadLeft: chartMargin, PadRight: chartMargin,
	}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err := canvas.WriteTo(w)
	return err
}

// plotClass draws the requests of a class. Windows without requests are zero.
func (a *Account) plotClass(class string, windows int) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = class
	p.X.Label.Text = "seconds from the first request"
	p.Y.Label.Text = fmt.Sprintf("requests in %v", a.Window)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	counts := make([]Counts, windows)
	for _, r := range a.Windows {
		if r.Class == class {
			counts[r.Window] = r.Counts
		}
	}
	for _, s := range allSeries {
		points := make(plotter.XYs, windows)
		for i := range counts {
			points[i] = plotter.XY{X: (float64(i) + 0.5) * a.WindowSecs, Y: float64(s.value(&counts[i]))}
		}
		if windows == 1 { // a line needs two points
			points = slices.Concat(plotter.XYs{{X: 0, Y: points[0].Y}}, plotter.XYs{{X: a.WindowSecs, Y: points[0].Y}})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = s.color, lineWidth
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(windows)*a.WindowSecs, 0
	return p, nil
}
