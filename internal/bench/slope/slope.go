// Package slope measures how costs grow with sizes, and fits a line through
// what it measured.
package slope

import (
	"runtime"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
)

// Error is the class of all errors of this package.
var Error = errs.Class("slope")

// Point is a cost at a size.
type Point struct {
	Size float64
	Cost float64
}

// Line is the fit of a cost over a size: Base + Slope * size.
type Line struct {
	What  string
	Unit  string
	Per   string
	Base  float64
	Slope float64
	// Fit is the share of the variance that the line explains.
	Fit    float64
	Points []Point
}

// At extrapolates the cost to a size.
func (line Line) At(size float64) float64 { return line.Base + line.Slope*size }

// fit draws a line through points.
func fit(what, unit, per string, points []Point) Line {
	line := Line{What: what, Unit: unit, Per: per, Points: points}
	var sizes, costs []float64
	for _, point := range points {
		sizes = append(sizes, point.Size)
		costs = append(costs, point.Cost)
	}
	line.Base, line.Slope = stat.LinearRegression(sizes, costs, nil, false)
	line.Fit = stat.RSquared(sizes, costs, nil, line.Base, line.Slope)
	return line
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// spent returns the processor time that a piece of work takes.
func spent(work func()) time.Duration {
	before := processorTime()
	work()
	return processorTime() - before
}

// heap returns the bytes in use on the heap after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var usage runtime.MemStats
	runtime.ReadMemStats(&usage)
	return float64(usage.HeapAlloc)
}

// grown returns how much the heap grows by what build makes and returns.
func grown(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return after - before
}
