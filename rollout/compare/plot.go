package compare

import (
	"fmt"
	"io"
	"strings"
)

// Size of the plot in SVG units.
const (
	plotWidth, plotHeight = 640, 400
	plotMargin            = 70
)

// writePlot writes an SVG plot of mean staleness against idle time, with one point for each result.
func writePlot(out io.Writer, results []Result) error {
	maxIdle, maxStale := 0.05, 0.5
	for _, r := range results {
		maxIdle, maxStale = max(maxIdle, r.IdleFraction*1.15), max(maxStale, r.meanStaleness()*1.15)
	}
	x := func(idle float64) float64 { return plotMargin + idle/maxIdle*(plotWidth-2*plotMargin) }
	y := func(stale float64) float64 { return plotHeight - plotMargin - stale/maxStale*(plotHeight-2*plotMargin) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="13">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	writeAxes(&b, maxIdle, maxStale, x, y)
	b.WriteString(`<polyline fill="none" stroke="#1f6f8b" stroke-width="2" points="`)
	for _, r := range results {
		fmt.Fprintf(&b, "%.1f,%.1f ", x(r.IdleFraction), y(r.meanStaleness()))
	}
	b.WriteString("\"/>\n")
	for _, r := range results {
		px, py := x(r.IdleFraction), y(r.meanStaleness())
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="#c0392b"/><text x="%.1f" y="%.1f">%s</text>`+"\n", px, py, px+8, py-6, r.Name)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(out, b.String())
	return err
}

// axisTicks is the number of intervals between the labels of each axis.
const axisTicks = 5

func writeAxes(b *strings.Builder, maxIdle, maxStale float64, x, y func(float64) float64) {
	fmt.Fprintf(b, `<path d="M%.1f,%.1f L%.1f,%.1f L%.1f,%.1f" fill="none" stroke="black"/>`+"\n",
		x(0), y(maxStale), x(0), y(0), x(maxIdle), y(0))
	for i := range axisTicks + 1 {
		idle, stale := maxIdle*float64(i)/axisTicks, maxStale*float64(i)/axisTicks
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%.0f%%</text>`+"\n", x(idle), y(0)+18, 100*idle)
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="end">%.1f</text>`+"\n", x(0)-6, y(stale)+4, stale)
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="middle">trainer idle time</text>`+"\n", plotWidth/2, plotHeight-20)
	fmt.Fprintf(b, `<text x="18" y="%d" transform="rotate(-90 18 %d)" text-anchor="middle">mean staleness (versions)</text>`+"\n", plotHeight/2, plotHeight/2)
}
