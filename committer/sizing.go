package committer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/experimenter"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// workload is a kind of record at the load expected in two years.
type workload struct {
	name             string
	recordsPerSecond float64 // new records per second, over all shards
	shards           int
	options          Options
	initialBytes     int          // bytes of a new record's value
	reserveBytes     int          // Change.ReserveBytes of a new record
	finalBytes       int          // bytes of its value after its update; 0 if it is never updated
	updateLag        clock.Millis // time from the creation of a record to its update
}

// maxStoreWrites is the bound of the store writes per second over all workloads.
const maxStoreWrites = 300

// workloads returns the workloads at 6,700 requests/s: a bill for each request,
// an order for one request in 20, and a pin for one in 10.
func workloads() []workload {
	return []workload{
		{
			name: "bills", recordsPerSecond: 6700, shards: 16, initialBytes: 75,
			options: Options{Segments: 320, Interval: 5 * clock.Second, Retention: 30 * clock.Minute},
		},
		{
			name: "orders", recordsPerSecond: 335, shards: 16,
			initialBytes: 110, reserveBytes: 2368, finalBytes: 450, updateLag: 2 * clock.Second,
			options: Options{Segments: 320, Interval: 100, Retention: clock.Hour},
		},
		{
			name: "pins", recordsPerSecond: 670, shards: 16, initialBytes: 10,
			options: Options{Segments: 640, Interval: 2 * clock.Second, Retention: 24 * clock.Hour},
		},
	}
}

// Sizing returns the experiment that computes the sizes of the stored objects
// and the store writes over 15 minutes at the load expected in two years. It
// simulates one shard of each workload and multiplies by the number of shards.
func Sizing() experimenter.Experiment {
	return experimenter.Experiment{
		Name:    "sizing",
		Summary: "object sizes and store writes at 6,700 requests/s",
		Run: func(seed uint64) experimenter.Result {
			return sizing(seed, []clock.Millis{clock.Minute, 5 * clock.Minute, 15 * clock.Minute})
		},
	}
}

func sizing(seed uint64, at []clock.Millis) experimenter.Result {
	r := experimenter.Result{Columns: []string{
		"objects", "largest_kb", "total_mb", "store_writes_s", "written_kb_s_writer", "retention_objects_shard",
	}}
	var writes, largest float64
	for _, w := range workloads() {
		s := newSimulation(w, seed)
		for _, instant := range at {
			s.runUntil(instant)
			values := s.values()
			r.Rows = append(r.Rows, experimenter.Row{
				Label: fmt.Sprintf("%s after %d s", w.name, instant/clock.Second), Values: values,
			})
			largest = max(largest, values[1])
		}
		writes += s.values()[3]
	}
	r.Targets = []experimenter.Target{
		{Name: "largest object, kb", Measured: largest, Limit: 512},
		{Name: "store writes/s", Measured: writes, Limit: maxStoreWrites},
	}
	return r
}

// simulation runs one shard of a workload on a manual clock, with an in-memory
// store.
type simulation struct {
	workload
	clock          *clock.Manual
	worker         *shardWorker
	rng            *rand.Rand
	objects        map[string]storeclient.Object
	largestBytes   int
	writes         int
	writtenBytes   int
	pendingRecords float64 // new records that have accumulated
	keys           []string
	updatedKeys    int // keys whose update has been submitted
	keysByStep     []int
}

func newSimulation(w workload, seed uint64) *simulation {
	s := &simulation{
		workload: w, clock: clock.NewManual(0), rng: rand.New(rand.NewPCG(seed, 0)),
		objects: map[string]storeclient.Object{},
	}
	store := storeclient.Store{Get: s.get, Put: s.put}
	w.options.Instance = "instance-0123456789"
	c := New(store, s.clock.Clock(), w.options)
	s.worker = &shardWorker{
		committer: c, shard: w.name + "/0", rng: s.rng, maxVersions: make([]uint64, w.options.Segments),
	}
	return s
}

func (s *simulation) get(_ context.Context, key string) (storeclient.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, storeclient.ErrNotFound
	}
	return o, nil
}

func (s *simulation) put(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
	o := s.objects[key]
	if o.Version != expect {
		return 0, storeclient.ErrConflict
	}
	s.objects[key] = storeclient.Object{Key: key, Version: expect + 1, Value: value}
	s.largestBytes = max(s.largestBytes, len(value))
	s.writtenBytes += len(value)
	s.writes++
	return expect + 1, nil
}

// runUntil advances the clock to end. The records of each interval are submitted
// as one batch.
func (s *simulation) runUntil(end clock.Millis) {
	step := s.options.Interval
	for s.clock.Now() < end {
		s.clock.Advance(step)
		s.pendingRecords += s.recordsPerSecond / float64(s.shards) * float64(step) / float64(clock.Second)
		for ; s.pendingRecords >= 1; s.pendingRecords-- {
			key := fmt.Sprintf("%024x", s.rng.Uint64())
			s.keys = append(s.keys, key)
			s.submit(key, s.initialBytes, s.reserveBytes)
		}
		s.keysByStep = append(s.keysByStep, len(s.keys))
		if steps := int(s.updateLag / step); s.finalBytes > 0 && len(s.keysByStep) > steps {
			for ; s.updatedKeys < s.keysByStep[len(s.keysByStep)-1-steps]; s.updatedKeys++ {
				s.submit(s.keys[s.updatedKeys], s.finalBytes, 0)
			}
		}
		for waiting := s.worker.waitingRequests(); len(waiting) > 0; waiting = s.worker.waitingRequests() {
			s.worker.round(context.Background(), waiting)
		}
	}
}

func (s *simulation) submit(key string, size, reserve int) {
	value := []byte(strings.Repeat("x", size))
	apply := func([]byte) ([]byte, error) { return value, nil }
	s.worker.pending = append(s.worker.pending, &request{
		key: key, keyHash: xxhash.Sum64String(key), change: Change{Apply: apply, ReserveBytes: reserve},
		result: make(chan result, 1),
	})
}

// values returns the values of the experiment's columns.
func (s *simulation) values() []float64 {
	total := 0
	for _, o := range s.objects {
		total += len(o.Value)
	}
	seconds := float64(s.clock.Now()) / float64(clock.Second)
	objects := float64(len(s.objects))
	newest := s.worker.ring.segments[s.worker.ring.newest].content
	filled := float64(newest.Number) + float64(newest.reservedSize())/float64(s.worker.committer.options.SegmentBytes)
	shards := float64(s.shards)
	return []float64{
		objects * shards,
		float64(s.largestBytes) / 1024,
		float64(total) * shards / (1 << 20),
		float64(s.writes) * shards / seconds,
		float64(s.writtenBytes) / 1024 / seconds,
		filled * float64(s.options.Retention) / float64(s.clock.Now()),
	}
}
