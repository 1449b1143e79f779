package stand

import "sync"

// Journal notes, over all upstreams that share it, which writes ran. The zero
// Journal is empty.
type Journal struct {
	mutex   sync.Mutex
	counts  map[string]int
	crashes map[string]int
}

// ran notes that a write ran.
func (journal *Journal) ran(key, _ string) {
	if key == "" {
		return
	}
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.counts == nil {
		journal.counts = map[string]int{}
	}
	journal.counts[key]++
}

func (journal *Journal) crash(upstream string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.crashes == nil {
		journal.crashes = map[string]int{}
	}
	journal.crashes[upstream]++
}

// Runs returns how often the write with the idempotency key ran.
func (journal *Journal) Runs(key string) int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.counts[key]
}

// Doubled returns the number of writes that ran more than once.
func (journal *Journal) Doubled() int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	doubled := 0
	for _, count := range journal.counts {
		if count > 1 {
			doubled++
		}
	}
	return doubled
}

// Crashes returns how many upstreams a poisonous request has crashed.
func (journal *Journal) Crashes() int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	total := 0
	for _, count := range journal.crashes {
		total += count
	}
	return total
}
