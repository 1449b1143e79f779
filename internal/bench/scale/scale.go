// Package scale measures how the memory and CPU cost of operations scales with
// their size, such as the number of hosts or records, and fits a linear regression
// to the measurements.
package scale

import (
	"runtime"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
)

// Error is the class of all errors of this package.
var Error = errs.Class("scale")

// Point is the cost measured at one size.
type Point struct {
	Size float64
	Cost float64
}

// Regression is a linear regression of cost over size: cost = Base + Slope * size.
type Regression struct {
	// What is the operation or structure that was measured.
	What string
	// Unit is the unit of the cost.
	Unit string
	// Per is the unit of the size.
	Per   string
	Base  float64
	Slope float64
	// Fit is the coefficient of determination (R squared).
	Fit    float64
	Points []Point
}

// Predict returns the cost that the regression predicts for a size.
func (regression Regression) Predict(size float64) float64 {
	return regression.Base + regression.Slope*size
}

// fitLine computes the linear regression of the points.
func fitLine(what, unit, per string, points []Point) Regression {
	regression := Regression{What: what, Unit: unit, Per: per, Points: points}
	var sizes, costs []float64
	for _, point := range points {
		sizes = append(sizes, point.Size)
		costs = append(costs, point.Cost)
	}
	regression.Base, regression.Slope = stat.LinearRegression(sizes, costs, nil, false)
	regression.Fit = stat.RSquared(sizes, costs, nil, regression.Base, regression.Slope)
	return regression
}

// processCPUTime returns the user and system CPU time that this process has used,
// or 0 if it is not available.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCPUTime returns the CPU time that the whole process uses while action
// runs.
func measureCPUTime(action func()) time.Duration {
	before := processCPUTime()
	action()
	return processCPUTime() - before
}

// heapInUse returns the bytes allocated on the heap after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var usage runtime.MemStats
	runtime.ReadMemStats(&usage)
	return float64(usage.HeapAlloc)
}

// measureHeapGrowth returns the size in bytes of the value that build returns: the
// growth of the heap with garbage excluded.
func measureHeapGrowth(build func() any) float64 {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return after - before
}
