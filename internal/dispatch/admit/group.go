package admit

import "github.com/cespare/xxhash/v2"

// groupSize is the number of upstreams in a data centre up to which they form one group.
const groupSize = 12

// Group is one of the groups into which the upstreams of a service in a data centre are
// divided, by the hash of their ID. Its number is below Of. The zero value contains all.
type Group struct {
	Number, Of int
}

// contains reports whether the target belongs to the group.
func (group Group) contains(target Target) bool {
	return group.Of <= 1 || int(target.hash%uint64(group.Of)) == group.Number
}

// groupsOf returns the number of groups for a number of upstreams: a power of two, so that
// each group splits into two when there are more.
func groupsOf(upstreams int) int {
	groups := 1
	for groups*groupSize < upstreams {
		groups *= 2
	}
	return groups
}

// updateGroups divides the upstreams of each data centre into groups. Draining upstreams
// count, so that the division does not change with each fault, but their slots do not.
func (service *service) updateGroups() {
	counts := map[string]int{}
	for _, upstream := range service.upstreams {
		counts[upstream.target.DataCentre]++
	}
	service.groups = map[string][]int{}
	for dataCentre, count := range counts {
		service.groups[dataCentre] = make([]int, groupsOf(count))
	}
	for _, upstream := range service.upstreams {
		if slots := service.groups[upstream.target.DataCentre]; !upstream.target.Draining {
			slots[upstream.target.hash%uint64(len(slots))] += max(1, upstream.target.Slots)
		}
	}
}

// Groups returns the slots of each group of a service's upstreams in a data centre. The
// result must not be changed.
func (scheduler *Scheduler) Groups(name, dataCentre string) []int {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.service(name).groups[dataCentre]
}

// GroupOf returns the group that a target of this scheduler belongs to.
func (scheduler *Scheduler) GroupOf(target Target) Group {
	groups := len(scheduler.Groups(target.Service, target.DataCentre))
	if groups <= 1 {
		return Group{}
	}
	return Group{Number: int(xxhash.Sum64String(target.Owner.ID) % uint64(groups)), Of: groups}
}
