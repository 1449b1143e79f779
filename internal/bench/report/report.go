// Package report writes the result of a load run as an HTML page with plots.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"damaskcrank.example/damaskcrank/internal/bench/load"
	"damaskcrank.example/damaskcrank/internal/bench/scene"
)

// Error is the class of all errors of this package.
var Error = errs.Class("report")

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	fileMode   = 0o644
)

// Run holds the data that a report shows.
type Run struct {
	Title   string
	Summary load.Summary
	Writes  load.WriteCheck
	Series  []load.Point
	Marks   []scene.FaultEvent
}

// Write renders the report of a run and writes it to a file.
func Write(path string, run Run) error {
	latency, err := renderPlot("Slowest answer in 0.1 s", "milliseconds", run, func(point load.Point) float64 {
		return float64(point.Slowest) / float64(time.Millisecond)
	})
	if err != nil {
		return err
	}
	goodput, err := renderPlot("Goodput", "answers per second", run, func(point load.Point) float64 {
		return float64(point.Answered) * 10
	})
	if err != nil {
		return err
	}
	var page bytes.Buffer
	err = pageTemplate.Execute(&page, pageData{Run: run, Plots: []template.HTML{latency, goodput}})
	if err != nil {
		return Error.New("write page: %w", err)
	}
	if err := os.WriteFile(path, page.Bytes(), fileMode); err != nil {
		return Error.New("write report: %w", err)
	}
	return nil
}

// renderPlot renders one value over time as an SVG plot with a marker for each
// fault event.
func renderPlot(title, unit string, run Run, value func(load.Point) float64) (template.HTML, error) {
	diagram := plot.New()
	diagram.Title.Text = title
	diagram.X.Label.Text = "seconds"
	diagram.Y.Label.Text = unit
	diagram.Y.Min = 0
	points := make(plotter.XYs, 0, len(run.Series))
	maxValue := 1.0
	for _, point := range run.Series {
		points = append(points, plotter.XY{X: point.At.Seconds(), Y: value(point)})
		maxValue = max(maxValue, value(point))
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return "", Error.New("draw plot %q: %w", title, err)
	}
	diagram.Add(line)
	if err := addFaultMarkers(diagram, run.Marks, maxValue); err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	diagram.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", Error.New("draw plot %q: %w", title, err)
	}
	return template.HTML(svg.String()), nil //nolint:gosec // generated here, contains no untrusted text
}

// addFaultMarkers draws a vertical line with a label for each fault event.
func addFaultMarkers(diagram *plot.Plot, marks []scene.FaultEvent, height float64) error {
	for _, faultevent := range marks {
		seconds := faultevent.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: seconds, Y: 0}, {X: seconds, Y: height}})
		if err != nil {
			return Error.New("draw fault marker: %w", err)
		}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: seconds, Y: height}}, Labels: []string{faultevent.Text}})
		if err != nil {
			return Error.New("draw fault marker: %w", err)
		}
		diagram.Add(line, labels)
	}
	return nil
}

// pageData is the input of pageTemplate.
type pageData struct {
	Run   Run
	Plots []template.HTML
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.2f %%", share*100) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Run.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}</style></head>
<body><h1>{{.Run.Title}}</h1>
<table>
<tr><th>offered</th><td>{{.Run.Summary.Offered}}</td></tr>
<tr><th>answered</th><td>{{.Run.Summary.Answered}}</td></tr>
<tr><th>median</th><td>{{.Run.Summary.Median}}</td></tr>
<tr><th>p99</th><td>{{.Run.Summary.P99}}</td></tr>
<tr><th>unavailable time</th><td>{{.Run.Summary.Unavailable}}</td></tr>
<tr><th>wrongful refusals</th><td>{{.Run.Summary.Wrongful}}</td></tr>
<tr><th>writes acknowledged, lost, doubled</th><td>{{.Run.Writes.Acknowledged}}, {{.Run.Writes.Lost}}, {{.Run.Writes.Doubled}}</td></tr>
</table>
{{range .Plots}}<div>{{.}}</div>{{end}}
<h2>Workspaces</h2>
<table><tr><th>workspace</th><th>offered</th><th>answered</th><th>served</th><th>wrongful</th><th>p99</th></tr>
{{range .Run.Summary.Workspaces}}<tr><td>{{.Name}}</td><td>{{.Offered}}</td><td>{{.Answered}}</td><td>{{percent .Served}}</td><td>{{.Wrongful}}</td><td>{{.P99}}</td></tr>
{{end}}</table>
<h2>Reasons</h2>
<table>{{range .Run.Summary.Reasons}}<tr><td>{{.Reason}}</td><td>{{.Count}}</td></tr>
{{end}}</table></body></html>
`))
