package stats

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCountersComeFirst guards against refusal counters that come after all histograms,
// where a collector that keeps the first kilobytes of a response loses them.
func TestCountersComeFirst(t *testing.T) {
	is := is.New(t)
	var set Set
	set.Answered("jobs", "w", time.Second)
	set.Refused("hopeless", "notRun")
	var written bytes.Buffer
	set.Write(&written)
	counter := strings.Index(written.String(), `damaskcrank_refusals_total{reason="hopeless",ran="notRun"} 1`)
	histogram := strings.Index(written.String(), "damaskcrank_answer_seconds_bucket")
	is.True(counter >= 0)
	is.True(counter < histogram)
}
