package queue

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func push(t testing.TB, queue *Queue[int], workspace string, weight float64, count int) {
	t.Helper()
	for number := range count {
		item := Item[int]{
			Workspace: workspace, Weight: weight, Value: number,
			Arrived: time.Unix(int64(number), 0), Deadline: time.Unix(1000+int64(number), 0),
		}
		if err := queue.Push(item); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFairDisciplineShares queues many more requests of one workspace than of
// another and checks that the fair disciplines still serve both by weight.
func TestFairDisciplineShares(t *testing.T) {
	for _, test := range []struct {
		name       string
		discipline Discipline
		weight     float64
		least      int
		most       int
	}{
		{"fair, equal weights", Fair{}, 1, 19, 21},
		{"fair, weight 3", Fair{}, 3, 29, 31},
		{"fair, weight a third", Fair{}, 1.0 / 3, 9, 11},
		{"zero value", nil, 1, 19, 21},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			queue := &Queue[int]{Discipline: test.discipline}
			push(t, queue, "large", 1, 200)
			push(t, queue, "small", test.weight, 40)
			small := 0
			for range 40 {
				item, ok := queue.Pop()
				is.True(ok)
				queue.Done(item.Workspace)
				if item.Workspace == "small" {
					small++
				}
			}
			is.True(small >= test.least && small <= test.most) // the small workspace is served in proportion to its weight
		})
	}
}

func TestStrictQuotaLeavesSlotsFree(t *testing.T) {
	is := is.New(t)
	queue := &Queue[int]{Discipline: StrictQuota{Slots: 4}}
	push(t, queue, "one", 1, 10)
	push(t, queue, "two", 1, 1)
	popped := 0
	for {
		if _, ok := queue.Pop(); !ok {
			break
		}
		popped++
	}
	is.Equal(popped, 3) // two for workspace one, one for workspace two; the fourth slot stays free
}

func TestLimit(t *testing.T) {
	is := is.New(t)
	queue := &Queue[int]{Limit: 2}
	push(t, queue, "one", 1, 2)
	is.True(errors.Is(queue.Push(Item[int]{Workspace: "one"}), ErrFull))
	is.NoErr(queue.Push(Item[int]{Workspace: "two"})) // the limit applies to each workspace separately
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	queue := &Queue[int]{}
	push(t, queue, "one", 1, 5)
	expired := queue.Expire(time.Unix(1002, 0))
	is.Equal(len(expired), 3)
	is.Equal(queue.Len(), 2)
}

// TestPopReturnsEveryItem checks that under each discipline every pushed item
// is popped once and the queue's length stays correct.
func TestPopReturnsEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disciplines := []Discipline{FIFO{}, Fair{}, StrictQuota{Slots: 2}}
		queue := &Queue[int]{Discipline: rapid.SampledFrom(disciplines).Draw(t, "discipline")}
		waiting := 0
		running := []string{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				if queue.Push(Item[int]{Workspace: workspace, Weight: 1}) == nil {
					waiting++
				}
			case 2:
				if item, ok := queue.Pop(); ok {
					waiting--
					running = append(running, item.Workspace)
				}
			case 3:
				if len(running) > 0 {
					queue.Done(running[0])
					running = running[1:]
				}
			}
			if queue.Len() != waiting {
				t.Fatalf("queue length is %d, want %d", queue.Len(), waiting)
			}
		}
		for _, workspace := range running {
			queue.Done(workspace)
		}
		for waiting > 0 {
			item, ok := queue.Pop()
			if !ok {
				t.Fatalf("%d requests are waiting, but Pop returned none", waiting)
			}
			queue.Done(item.Workspace)
			waiting--
		}
	})
}
