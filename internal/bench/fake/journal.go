package fake

import "sync"

// Journal records which writes ran on the upstreams that share it. The zero value
// is an empty journal. It is safe for concurrent use.
type Journal struct {
	mutex sync.Mutex
	// counts maps an idempotency key to the number of times its write ran.
	counts map[string]int
	// crashes maps an upstream's name to the number of its crashes.
	crashes map[string]int
}

// recordRun records that the write with the idempotency key ran. It ignores writes
// without a key.
func (journal *Journal) recordRun(key, _ string) {
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

// recordCrash records that a poison request crashed an upstream.
func (journal *Journal) recordCrash(upstream string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.crashes == nil {
		journal.crashes = map[string]int{}
	}
	journal.crashes[upstream]++
}

// Executions returns how many times the write with the idempotency key ran.
func (journal *Journal) Executions(key string) int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.counts[key]
}

// DuplicateExecutions returns the number of writes that ran more than once.
func (journal *Journal) DuplicateExecutions() int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	duplicates := 0
	for _, count := range journal.counts {
		if count > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Crashes returns how many times a poison request crashed an upstream.
func (journal *Journal) Crashes() int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	total := 0
	for _, count := range journal.crashes {
		total += count
	}
	return total
}
