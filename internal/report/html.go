package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot on the page.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

//go:embed page.html
var pageTemplate string

var page = template.Must(template.New("page").Parse(pageTemplate))

// figure is one plot of the page. The template uses its field names.
type figure struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	var figures []figure
	for _, f := range []struct {
		title, unit string
		lines       []series
	}{
		{"Accepted jobs that have not begun", "jobs", r.queue},
		{"Accelerators in use by customer", "accelerators", r.byCustomer},
		{"Accelerators in use by guaranteed and other jobs, and taken back", "accelerators", r.use},
		{"Refused requests", "a second", r.refusals},
	} {
		if len(f.lines) == 0 {
			continue
		}
		svg, err := r.draw(f.unit, f.lines)
		if err != nil {
			return errors.Annotate(err, f.title)
		}
		figures = append(figures, figure{f.title, svg})
	}
	return errors.Trace(page.Execute(w, map[string]any{"Report": r, "Figures": figures, "Span": r.To.Sub(r.From).Round(time.Millisecond)}))
}

// secondsSinceStart returns the seconds from the first line of the logs to a time.
func (r *Report) secondsSinceStart(at time.Time) float64 { return at.Sub(r.From).Seconds() }

// plot returns a plot with each series as a step function and a dashed vertical line at
// each change of the leader.
func (r *Report) plot(unit string, lines []series) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the first line"
	p.Y.Label.Text = unit
	p.X.Min, p.X.Max = 0, r.secondsSinceStart(r.To)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var maxValue float64
	for i, s := range lines {
		xys := make(plotter.XYs, 0, len(s.points)+1)
		for _, pt := range s.points {
			xys = append(xys, plotter.XY{X: r.secondsSinceStart(pt.from), Y: pt.value})
			maxValue = max(maxValue, pt.value)
		}
		xys = append(xys, plotter.XY{X: r.secondsSinceStart(r.To), Y: s.points[len(s.points)-1].value})
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		line.StepStyle = plotter.PostStep
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	for _, c := range r.Changes {
		if !c.Leader {
			continue
		}
		x := r.secondsSinceStart(c.Time)
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: max(maxValue, 1)}})
		if err != nil {
			return nil, err
		}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
	}
	return p, nil
}

// draw returns a plot as an SVG element for the page.
func (r *Report) draw(unit string, lines []series) (template.HTML, error) {
	p, err := r.plot(unit, lines)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // the XML declaration is not allowed within HTML
	}
	return template.HTML(svg), nil // the plot library escapes the names
}
