package group

import (
	"slices"
	"sort"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
)

const (
	// batchTimePerFetch is how long, for each waiting host, a control host collects changes
	// before it sends them, up to maxBatchTime: the more hosts wait, the more a message for
	// each change costs.
	batchTimePerFetch = time.Millisecond
	maxBatchTime      = 60 * time.Millisecond
	// minBatch is the number of changes from which they are compressed together.
	minBatch = 3
	// maxChanges is the number of changes beyond which a host gets the catalog instead. Each
	// change copies a part of the catalog: 1,700 of them took 66 ms of processor time, the
	// catalog 2 ms.
	maxChanges = 300
	// maxChangesToCached is the number of changes that may follow a catalog that was
	// compressed before.
	maxChangesToCached = 100
	// maxCachedBatches and maxCachedBytes bound the batches that are kept for other hosts at
	// the same index.
	maxCachedBatches = 8
	maxCachedBytes   = 2 << 20
)

// refreshCompressed compresses the catalog, unless the one that was compressed last lacks so
// few changes that they can follow it. Many hosts that start together get the same one.
func (node *Node) refreshCompressed() error {
	cached := node.compressed.catalog
	if cached != nil && cached.Index >= node.deltaBase && len(node.deltasAfter(cached.Index)) <= maxChangesToCached {
		return nil
	}
	return node.compressCatalog()
}

// batchKey identifies a batch by the indexes of its first and last change.
type batchKey struct{ first, last uint64 }

// batchCache keeps the latest compressed batches. Hosts that wait together get the same
// one. The zero value is empty.
type batchCache struct {
	encoded map[batchKey][]byte
	order   []batchKey
	// size is the size of all batches in bytes.
	size int
}

// encode returns the compressed encoding of changes that follow each other in the log.
func (batchcache *batchCache) encode(deltas []Delta) ([]byte, error) {
	key := batchKey{first: deltas[0].Index, last: deltas[len(deltas)-1].Index}
	if data, cached := batchcache.encoded[key]; cached {
		return data, nil
	}
	encoded, err := codec.Marshal(deltas)
	if err != nil {
		return nil, Error.New("encode batch: %w", err)
	}
	data, err := codec.Compress(encoded)
	if err != nil {
		return nil, Error.New("compress batch: %w", err)
	}
	if batchcache.encoded == nil {
		batchcache.encoded = map[batchKey][]byte{}
	}
	batchcache.size += len(data)
	for len(batchcache.order) > 0 && (len(batchcache.order) >= maxCachedBatches || batchcache.size > maxCachedBytes) {
		batchcache.size -= len(batchcache.encoded[batchcache.order[0]])
		delete(batchcache.encoded, batchcache.order[0])
		batchcache.order = batchcache.order[1:]
	}
	batchcache.encoded[key] = data
	batchcache.order = append(batchcache.order, key)
	return data, nil
}

func decodeBatch(data []byte) ([]Delta, error) {
	encoded, err := codec.Decompress(data)
	if err != nil {
		return nil, Error.New("decompress batch: %w", err)
	}
	var deltas []Delta
	if err := codec.Unmarshal(encoded, &deltas); err != nil {
		return nil, Error.New("decode batch: %w", err)
	}
	return deltas, nil
}

// answerFetches answers each pending fetch whose deadline has passed, and those for which
// there are changes, once further changes had time to join them.
func (node *Node) answerFetches() {
	if len(node.pendingFetches) == 0 {
		return
	}
	now := node.options.Clock.Now()
	index := node.machine.Catalog.Index
	due := node.changesDue(now)
	var remaining []fetchRequest
	for _, fetch := range node.pendingFetches {
		if now.Before(fetch.deadline) && (!due || !node.hasChangesAfter(fetch.after)) {
			remaining = append(remaining, fetch)
			continue
		}
		fetch.reply <- node.fetchReply(fetch, index)
	}
	node.pendingFetches = remaining
}

// changesDue reports whether the hosts that wait for changes are told those there are.
func (node *Node) changesDue(now time.Time) bool {
	changes := slices.ContainsFunc(node.pendingFetches, func(fetch fetchRequest) bool { return node.hasChangesAfter(fetch.after) })
	if !changes {
		node.answerAt = time.Time{}
		return false
	}
	if node.answerAt.IsZero() {
		wait := min(time.Duration(len(node.pendingFetches))*batchTimePerFetch, maxBatchTime)
		if wait < node.options.Timing.Tick {
			return true // the next look would come later than that
		}
		node.answerAt = now.Add(wait)
	}
	if now.Before(node.answerAt) {
		return false
	}
	node.answerAt = time.Time{}
	return true
}

// hasChangesAfter reports whether there is a catalog command after the index. It
// also returns true if deltas after the index have been dropped.
func (node *Node) hasChangesAfter(after uint64) bool {
	if after < node.deltaBase {
		return true
	}
	return len(node.deltas) > 0 && node.deltas[len(node.deltas)-1].Index > after
}

// deltasAfter returns the changes after the index.
func (node *Node) deltasAfter(index uint64) []Delta {
	first := sort.Search(len(node.deltas), func(position int) bool { return node.deltas[position].Index > index })
	return node.deltas[first:len(node.deltas):len(node.deltas)]
}

func (node *Node) fetchReply(fetch fetchRequest, index uint64) FetchReply {
	reply := FetchReply{Upto: index}
	after := fetch.after
	if after < node.deltaBase || len(node.deltasAfter(after)) > maxChanges {
		if err := node.refreshCompressed(); err != nil {
			node.options.Log.WithError(err).Error(logPrefix + "cannot compress the catalog for a fetch")
			return FetchReply{}
		}
		reply.Catalog = node.compressed.data
		after = node.compressed.catalog.Index
	}
	reply.Deltas = node.deltasAfter(after)
	if !fetch.batches || len(reply.Deltas) < minBatch {
		return reply
	}
	batch, err := node.batches.encode(reply.Deltas)
	if err != nil {
		node.options.Log.WithError(err).Warn(logPrefix + "cannot compress a batch of catalog changes, sending them one by one")
		return reply
	}
	reply.Deltas, reply.Batch = nil, batch
	return reply
}
