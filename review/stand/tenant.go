package main

import "time"

const revokeBound = 5 * time.Second

func init() { scenarios["tenant"] = lastTenant }

// lastTenant checks CONFIG (strictRevoke): a config takes a caller key away by dropping the
// only tenant.
func lastTenant(root string, record *record, trouble bool) (bool, error) {
	fleet, err := begin(root, record, 4, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	load := fleet.startLoad(12, 60*time.Millisecond, func() string { return tenantKey })
	sleep(2 * time.Second)
	acknowledged := time.Time{}
	if trouble {
		change := map[string]any{"upsert": map[string]any{}, "delete": map[string]any{"tenants": []any{map[string]any{"name": tenant, "version": 9}}}}
		status, at, err := fleet.update(0, change, 4*time.Second)
		if err != nil {
			load.end()
			return false, err
		}
		if status/100 == 2 {
			acknowledged = at
		}
	}
	sleep(12 * time.Second)
	answers := load.end()
	if acknowledged.IsZero() {
		return false, nil
	}
	ran := map[string]run{}
	for _, backend := range fleet.backends {
		for _, run := range backend.runsAfter(acknowledged) {
			ran[run.id] = run
		}
	}
	count := 0
	for _, answer := range answers {
		run, known := ran[answer.id]
		if !known || !answer.sent.After(acknowledged.Add(revokeBound)) {
			continue
		}
		if count++; count <= 3 {
			record.say("%s was sent %.1f s after the acknowledgement with the key that was taken away, and ran for tenant %q", answer.id,
				answer.sent.Sub(acknowledged).Seconds(), run.tenant)
		}
	}
	record.say("requests with the key that ran although they were sent later than %v after the acknowledgement: %d", revokeBound, count)
	return count > 0, nil
}
