package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"

	"rosemaryarch.example/rosemaryarch/archiver"
	"rosemaryarch.example/rosemaryarch/assembler"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/planner"
)

const (
	// historyAnswers is the number of rated answers of each workspace, kind of
	// request and version that the fleet knows when the demonstration starts.
	historyAnswers = 250
	historyAge     = clock.Hour
	historyTokens  = 8
	historyCells   = 100_000
)

// writeHistory stores the counts of an earlier day, so that the instances start
// as a fleet does that has been running. The answers are rated by the same
// function as those of the demonstration. It returns the number of answers.
func (d *Demonstrator) writeHistory(ctx context.Context) (int, error) {
	now := clock.System().Now()
	h := &history{
		d: d, rater: estimator.New("history", 1, assembler.DefaultQualityHalfLife, historyCells), at: now - historyAge, now: now,
		random: rand.New(rand.NewPCG(d.Seed, 3)),
	}
	for _, w := range d.fleet.Workspaces {
		for _, name := range w.Services {
			if s, ok := d.fleet.Service(name); ok && s.Kind == parser.KindModel {
				h.service(w, s)
			}
		}
	}
	return h.answers, archiver.New(d.hoster.Store.Store(), h.rater).Save(ctx, now)
}

// history composes counts.
type history struct {
	d       *Demonstrator
	rater   *estimator.Estimator
	at, now clock.Millis
	random  *rand.Rand
	answers int
}

func (h *history) service(w parser.Workspace, s *parser.Service) {
	for _, first := range s.Models {
		for range historyAnswers {
			h.single(w, s, h.current(first))
			for _, second := range s.Models {
				if second != first {
					h.cascade(w, s, h.current(first), h.current(second))
				}
			}
		}
	}
}

func (h *history) current(model string) string {
	for _, m := range h.d.fleet.Models {
		if m.Name == model {
			return m.Versions[0].Key
		}
	}
	return ""
}

// rate returns the rating of a version's answer to a request.
func (h *history) rate(version, id string) float64 {
	h.answers++
	return h.d.score(id, version, engineemulator.Answer(version, id, historyTokens))
}

func (h *history) note(k estimator.Key, score float64) {
	for _, workspace := range []string{k.Workspace, planner.AllWorkspaces} {
		k.Workspace = workspace
		h.rater.CountAnswer(k, h.at, h.now, false)
		h.rater.CountRatingRequest(k, h.at, h.now)
		h.rater.CountRating(k, h.at, h.now, score)
	}
}

func (h *history) check(k estimator.Key, passed bool) {
	for _, workspace := range []string{k.Workspace, planner.AllWorkspaces} {
		k.Workspace = workspace
		h.rater.CountCheck(k, h.at, h.now, passed)
	}
}

func (h *history) single(w parser.Workspace, s *parser.Service, version string) {
	id := fmt.Sprintf("h%d", h.random.Uint64())
	h.note(estimator.Key{Workspace: w.Name, Kind: s.Name, Version: version}, h.rate(version, id))
}

// cascade counts an answer that is checked and, if it fails, repeated.
func (h *history) cascade(w parser.Workspace, s *parser.Service, first, second string) {
	id := fmt.Sprintf("h%d", h.random.Uint64())
	k := estimator.Key{Workspace: w.Name, Kind: s.Name, Version: first, Step: estimator.StepFirst}
	score := h.rate(first, id)
	passed := score >= w.TargetQuality
	h.check(k, passed)
	if passed {
		h.note(k, score)
		return
	}
	k.Version, k.From, k.Step = second, first, estimator.StepEscalated
	h.note(k, h.rate(second, id))
}
