package group

import (
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// itemsInLog tells up to which index the leader's log may hold changes of the configuration.
// The zero value knows nothing of any term.
type itemsInLog struct{ term, last uint64 }

// admitsItems reports whether a command may be appended at an index. Before
// state.FormatCheckedItems members do not look for routes to a service when they delete it, so
// the leader appends the deletion only if all changes before it are applied and no route names
// the service.
func (node *Node) admitsItems(command []byte, index uint64) bool {
	if node.machine.Format >= state.FormatCheckedItems || node.core.Role() != raft.RoleLeader {
		return true
	}
	changes, ok := state.ItemsOf(command)
	if !ok {
		return true
	}
	if node.items.term != node.core.Term() {
		node.items = itemsInLog{term: node.core.Term(), last: node.core.LastIndex()}
	}
	if slices.ContainsFunc(changes, items.Item.DeletesService) {
		catalog := node.machine.Catalog
		_, outcome, _ := catalog.Items.MergeChecked(changes)
		if catalog.Index < node.items.last || outcome == items.OutcomeInvalid {
			return false
		}
	}
	node.items.last = index
	return true
}
