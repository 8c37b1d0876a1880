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
	// historyAnswers is the number of rated answers of each workspace, service and
	// version in the history; cascades are added to them.
	historyAnswers = 250
	historyAge     = clock.Hour // of the ratings
	historyTokens  = 8          // length of an answer, in tokens
	historyCells   = 100_000    // maximum number of counted keys
)

// writeHistory writes counts of earlier ratings to the object API, so that the
// instances start with the quality estimates of a fleet that has been in service.
// The answers are rated by the same function as those of the demonstration. It
// returns the number of rated answers.
func (d *Demonstrator) writeHistory(ctx context.Context) (int, error) {
	now := clock.System().Now()
	h := &history{
		d: d, estimator: estimator.New("history", 1, assembler.DefaultQualityHalfLife, historyCells),
		ratedAt: now - historyAge, now: now,
		random: rand.New(rand.NewPCG(d.Seed, 3)),
	}
	for _, w := range d.fleet.Workspaces {
		for _, name := range w.Services {
			if s, ok := d.fleet.Service(name); ok && s.Kind == parser.KindModel {
				h.addService(w, s)
			}
		}
	}
	return h.answers, archiver.New(d.hoster.Store.Store(), h.estimator).Save(ctx, now)
}

// history computes the counts of earlier answers.
type history struct {
	d            *Demonstrator
	estimator    *estimator.Estimator
	ratedAt, now clock.Millis
	random       *rand.Rand
	answers      int
}

// addService adds the history of one workspace at one service.
func (h *history) addService(w parser.Workspace, s *parser.Service) {
	for _, first := range s.Models {
		for range historyAnswers {
			h.addSingleAnswer(w, s, h.currentVersion(first))
			for _, second := range s.Models {
				if second != first {
					h.addCascade(w, s, h.currentVersion(first), h.currentVersion(second))
				}
			}
		}
	}
}

// currentVersion returns the key of the model's current version.
func (h *history) currentVersion(model string) string {
	for _, m := range h.d.fleet.Models {
		if m.Name == model {
			return m.Versions[0].Key
		}
	}
	return ""
}

// rate returns the rating of a version's answer to a request, and counts it.
func (h *history) rate(version, id string) float64 {
	h.answers++
	return h.d.score(id, version, engineemulator.Answer(version, id, historyTokens))
}

// addRating counts a rated answer, for the workspace and for all workspaces together.
func (h *history) addRating(k estimator.Key, score float64) {
	for _, workspace := range []string{k.Workspace, planner.AllWorkspaces} {
		k.Workspace = workspace
		h.estimator.CountAnswer(k, h.ratedAt, h.now, false)
		h.estimator.CountRatingRequest(k, h.ratedAt, h.now)
		h.estimator.CountRating(k, h.ratedAt, h.now, score)
	}
}

// addCheck counts the result of a check of a cascade's first answer.
func (h *history) addCheck(k estimator.Key, passed bool) {
	for _, workspace := range []string{k.Workspace, planner.AllWorkspaces} {
		k.Workspace = workspace
		h.estimator.CountCheck(k, h.ratedAt, h.now, passed)
	}
}

// addSingleAnswer adds an answer by a single version.
func (h *history) addSingleAnswer(w parser.Workspace, s *parser.Service, version string) {
	id := fmt.Sprintf("h%d", h.random.Uint64())
	h.addRating(estimator.Key{Workspace: w.Name, Kind: s.Name, Version: version}, h.rate(version, id))
}

// addCascade adds an answer that is checked against the workspace's target quality
// and, if it fails the check, is replaced by an answer of the second version.
func (h *history) addCascade(w parser.Workspace, s *parser.Service, first, second string) {
	id := fmt.Sprintf("h%d", h.random.Uint64())
	k := estimator.Key{Workspace: w.Name, Kind: s.Name, Version: first, Step: estimator.StepFirst}
	score := h.rate(first, id)
	passed := score >= w.TargetQuality
	h.addCheck(k, passed)
	if passed {
		h.addRating(k, score)
		return
	}
	k.Version, k.From, k.Step = second, first, estimator.StepEscalated
	h.addRating(k, h.rate(second, id))
}
