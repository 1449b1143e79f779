package pacer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pieceTime is how long a piece of a large answer occupies the link.
	pieceTime = 25 * time.Millisecond
	// minPieceBytes bounds the size of a piece on links that have become slow.
	minPieceBytes = minBufferBytes
	// usableShare is the part of the measured rate that is used. The rest is for the headers
	// of packets and for acknowledgements.
	usableShare = 0.94
	// largeShare is the part of the rate that large answers get at least.
	largeShare = 0.2
	// burstTime is how far pieces may catch up after a timer that was late.
	burstTime = pieceTime / 4
	// maxDebtTime bounds the time that small answers may occupy the link in advance.
	maxDebtTime = time.Second
	// stallTime is how long a piece counts as being passed on. On a link that has narrowed to
	// a third and is half full of small answers, a piece takes 150 ms until it is measured.
	stallTime = 8 * pieceTime
	// slowestFactor bounds how much slower than in the settings a link is taken to be, as the
	// upstream or the caller may be slow in its place.
	slowestFactor = 4
	// rateSamples is the number of samples that the rate is measured with.
	rateSamples = 16
	// sampleTime is how long a sample counts. A link that was slow and has passed no large
	// answer since may be as fast as the settings say.
	sampleTime = 3 * time.Second
	// meterTime is the time constant of the moving averages of bytes.
	meterTime = time.Second
)

// meter is a moving average of bytes per second. The zero value is ready to use.
type meter struct {
	amount float64
	at     time.Time
	// over is the time constant, 0 for meterTime.
	over time.Duration
}

func (meter *meter) constant() float64 { return cmp.Or(meter.over, meterTime).Seconds() }

func (meter *meter) add(now time.Time, bytes float64) {
	meter.amount = meter.left(now) + bytes
	meter.at = now
}

func (meter *meter) left(now time.Time) float64 {
	return meter.amount * math.Exp(-now.Sub(meter.at).Seconds()/meter.constant())
}

func (meter *meter) perSecond(now time.Time) float64 { return meter.left(now) / meter.constant() }

// piece is a part of a large answer that waits to be passed on, or is being passed on.
type piece struct {
	flow      *Flow
	size      int
	askedAt   time.Time
	grantedAt time.Time
	// smallBefore is the number of small bytes passed before the piece was granted.
	smallBefore int64
	granted     chan struct{}
}

// line is one direction of a link. It is guarded by the mutex of the link.
type line struct {
	direction Direction
	// nominal is the rate in the settings, in bytes per second.
	nominal float64
	// clearAt is when all bytes will have left that were passed on.
	clearAt time.Time
	// floorAt is when the next piece may be granted however many small bytes there are.
	floorAt time.Time
	// small measures the small bytes, and smallBytes is their sum.
	small      meter
	smallBytes int64
	waiting    []*piece
	passing    []*piece
	// doneAt is when a piece was last done, and smallDone the sum of small bytes then.
	doneAt    time.Time
	smallDone int64
	// samples are the latest measurements, the oldest first.
	samples []sample
}

// sample is what the link passed on in some time.
type sample struct {
	at    time.Time
	bytes int64
	took  time.Duration
}

// measured returns the rate that the link is found to have.
func (line *line) measured(now time.Time) float64 {
	bytes, took := 0.0, time.Duration(0)
	for _, sample := range line.samples {
		if now.Sub(sample.at) < sampleTime {
			bytes += float64(sample.bytes)
			took += sample.took
		}
	}
	if took == 0 {
		return line.nominal
	}
	return min(max(bytes/took.Seconds(), line.nominal/slowestFactor), line.nominal)
}

// rate returns the rate at which bytes are passed on.
func (line *line) rate(now time.Time) float64 { return line.measured(now) * usableShare }

// largeRate returns the rate that is left for large answers.
func (line *line) largeRate(now time.Time) float64 {
	return max(line.rate(now)*largeShare, line.rate(now)-line.small.perSecond(now))
}

func (line *line) pieceBytes(now time.Time) int {
	return max(minPieceBytes, int(line.measured(now)*pieceTime.Seconds()))
}

func seconds(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}

// spend accounts for bytes that are passed on now.
func (line *line) spend(now time.Time, bytes int) {
	if earliest := now.Add(-burstTime); line.clearAt.Before(earliest) {
		line.clearAt = earliest
	}
	line.clearAt = line.clearAt.Add(seconds(float64(bytes), line.rate(now)))
	if latest := now.Add(maxDebtTime); line.clearAt.After(latest) {
		line.clearAt = latest
	}
}

// account accounts for small bytes, which are not paced.
func (line *line) account(now time.Time, bytes int) {
	line.small.add(now, float64(bytes))
	line.smallBytes += int64(bytes)
	line.spend(now, bytes)
}

// fullOfSmall reports whether small answers alone hold the line until a time. It relies on the
// rate in the settings, as the measured one may be that of a slow caller.
func (line *line) fullOfSmall(now, until time.Time) bool {
	return line.clearAt.After(until) && line.small.perSecond(now) > line.nominal*usableShare
}

// readyAt returns when the next piece may be granted: when the line is clear, and the piece
// before was passed on. Slow upstreams and callers are not waited for.
func (line *line) readyAt(now time.Time) time.Time {
	readyAt := line.clearAt
	if len(line.waiting) > 0 {
		first := line.waiting[0]
		floorAt := later(line.floorAt, first.askedAt.Add(seconds(float64(first.size), line.rate(now)*largeShare)))
		if floorAt.Before(readyAt) {
			readyAt = floorAt
		}
	}
	for _, piece := range line.passing {
		if stallsAt := piece.grantedAt.Add(stallTime); !piece.flow.slow[line.direction] && stallsAt.After(now) {
			readyAt = later(readyAt, stallsAt) // or when it is done
		}
	}
	return readyAt
}

// grant grants the pieces that may be passed on now. The other rate is that of the other
// direction for large answers.
func (line *line) grant(now time.Time, otherRate float64) {
	for len(line.waiting) > 0 && !line.readyAt(now).After(now) {
		position := line.next(now, otherRate)
		next := line.waiting[position]
		line.waiting = slices.Delete(line.waiting, position, position+1)
		line.spend(now, next.size)
		line.floorAt = now.Add(seconds(float64(next.size), line.rate(now)*largeShare))
		next.grantedAt, next.smallBefore = now, line.smallBytes
		line.passing = append(line.passing, next)
		close(next.granted)
	}
}

// finish records that a piece was passed on, and measures the link with it.
func (line *line) finish(now time.Time, done *piece) {
	if !line.drop(done) {
		return
	}
	done.flow.slow[line.direction] = now.Sub(done.grantedAt) >= stallTime
	since, small := done.grantedAt, line.smallBytes-done.smallBefore
	if line.doneAt.After(since) {
		since, small = line.doneAt, line.smallBytes-line.smallDone
	}
	line.doneAt, line.smallDone = now, line.smallBytes
	if done.size < line.pieceBytes(now)/2 {
		return // too short to measure
	}
	line.samples = append(line.samples, sample{at: now, bytes: int64(done.size) + small, took: min(stallTime, now.Sub(since))})
	if len(line.samples) > rateSamples {
		line.samples = line.samples[1:]
	}
}

// drop removes a piece that waits or is being passed on, and reports whether there was one.
func (line *line) drop(dropped *piece) bool {
	before := len(line.waiting) + len(line.passing)
	same := func(other *piece) bool { return other == dropped }
	line.waiting = slices.DeleteFunc(line.waiting, same)
	line.passing = slices.DeleteFunc(line.passing, same)
	return len(line.waiting)+len(line.passing) < before
}
