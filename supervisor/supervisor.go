package supervisor

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// Supervisor decides on the roll-outs as one instance applies them. It is safe
// for concurrent use.
type Supervisor struct {
	// Get and Put read and write the object API; see storeclient.Store.
	Get func(ctx context.Context, key string) (storeclient.Object, error)
	Put func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Totals returns the fleet's counts by time bucket from since to now, over the
	// keys that match; see estimator.Estimator.Totals.
	Totals func(match func(estimator.Key) bool, since, now clock.Millis) []estimator.Estimate
	// Promoter holds the parameters of the statistical test.
	Promoter promoter.Promoter

	mu      sync.Mutex
	records records
	shares  map[string]float64 // of new sessions, 0 to 1, by canary
	reasons map[string]string  // for the share, by canary
}

// New returns a supervisor without records.
func New(store storeclient.Store, est *estimator.Estimator, p promoter.Promoter) *Supervisor {
	return &Supervisor{
		Get: store.Get, Put: store.Put, Totals: est.Totals, Promoter: p,
		records: records{}, shares: map[string]float64{}, reasons: map[string]string{},
	}
}

// Records returns the known records, to be sent to other instances.
func (s *Supervisor) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.list()
}

// Merge adds the records of another instance and reports whether anything was
// new.
func (s *Supervisor) Merge(other []Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.merge(other)
}

// Stopped returns the stopped versions of the fleet by key, with the reason. A
// stop applies as long as the version's entry in the configuration is unchanged.
func (s *Supervisor) Stopped(f *parser.Fleet) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := map[string]string{}
	for _, m := range f.Models {
		for _, v := range m.Versions {
			if r := s.records[Entry(v)]; r.Stop != nil {
				stopped[v.Key] = r.Stop.Reason
			}
		}
	}
	return stopped
}

// Shares returns the share of new sessions, 0 to 1, that each canary received at
// the last Tick, and the reason for it.
func (s *Supervisor) Shares() (shares map[string]float64, reasons map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shares, reasons = map[string]float64{}, map[string]string{}
	for k, v := range s.shares {
		shares[k], reasons[k] = v, s.reasons[k]
	}
	return shares, reasons
}

// Tick decides on every roll-out of the fleet and reports whether a record is new
// or changed, so that it should be sent to other instances at once.
func (s *Supervisor) Tick(f *parser.Fleet, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	s.shares, s.reasons = map[string]float64{}, map[string]string{}
	for _, m := range f.Models {
		for _, v := range m.Versions {
			if v.State == parser.StateCanary {
				changed = s.decide(f, m, v, now) || changed
			}
		}
	}
	return changed
}

// decide updates the share and the record of the canary v of model m, and reports
// whether the record is new or a stop was added to it.
func (s *Supervisor) decide(f *parser.Fleet, m parser.Model, v parser.Version, now clock.Millis) bool {
	entry := Entry(v)
	record, known := s.records[entry]
	if !known {
		record = Record{Entry: entry, Since: now}
		s.records[entry] = record
		klog.Infof("supervisor: roll-out of %s started", v.Key)
	}
	rollout := promoter.Rollout{
		Version: v.Key, Current: serving(m), Since: record.Since, Ceiling: v.SharePercent / 100,
		Candidate: s.count(f, m, v.Key, record.Since, now), Baseline: s.count(f, m, serving(m), record.Since, now),
	}
	if record.Stop != nil {
		rollout.Stops = []promoter.StopRecord{*record.Stop}
	}
	share, reason, stop := s.Promoter.Decide(&rollout, now)
	s.shares[v.Key], s.reasons[v.Key] = share, reason
	if stop != nil {
		record.Stop = stop
		s.records[entry] = record
		klog.Warningf("supervisor: stopped %s: %s, mean %.3f against %.3f of %s",
			v.Key, stop.Reason, stop.Candidate, stop.Baseline, stop.Current)
	}
	return !known || stop != nil
}

// serving returns the key of the model's newest serving version, which is listed
// last, or "".
func serving(m parser.Model) string {
	found := ""
	for _, v := range m.Versions {
		if v.State == parser.StateServing {
			found = v.Key
		}
	}
	return found
}

// count returns the counts of a version over the workspaces that may use every
// version of the model, so that both sides of the test sample the same requests.
// Steps of a cascade are excluded: the check between them selects their requests
// or answers, which would bias the comparison.
func (s *Supervisor) count(
	f *parser.Fleet, m parser.Model, version string, since, now clock.Millis,
) []estimator.Estimate {
	return s.Totals(func(k estimator.Key) bool {
		if k.Version != version || k.Step != estimator.StepOnly {
			return false
		}
		w, ok := f.Workspace(k.Workspace)
		return ok && slices.Contains(w.Models, m.Name)
	}, since, now)
}

// Sync merges the stored records with the known ones and writes the result if it
// differs from the stored one. If the response to the write is lost, the next
// call reads the object again, so no retry is needed.
func (s *Supervisor) Sync(ctx context.Context) error {
	o, err := s.Get(ctx, RecordsKey)
	if err != nil && !errors.Is(err, storeclient.ErrNotFound) {
		return err
	}
	if err == nil {
		stored, err := decode(o.Value)
		if err != nil {
			return err
		}
		s.Merge(stored)
	}
	value, err := json.Marshal(s.Records())
	if err != nil {
		return errors.Wrap(err, "supervisor: encode records")
	}
	if string(value) == string(o.Value) || len(s.Records()) == 0 {
		return nil
	}
	_, err = s.Put(ctx, RecordsKey, value, o.Version)
	return err
}
