package forecaster

import (
	"math"
	"slices"
)

// Options are the initial estimates of a Forecaster.
type Options struct {
	// MsPerToken is the estimate for the largest model of a route.
	MsPerToken float64
	// SizeRatio is the ratio between the prefill times of neighbouring model sizes.
	SizeRatio float64
}

// Default returns the estimates for the deployments' engines, which process about
// 20 prompt tokens per ms with the largest model.
func Default() Options { return Options{MsPerToken: 0.05, SizeRatio: 0.3} }

// Forecaster holds the learned prefill times of models. It is not safe for
// concurrent use.
type Forecaster struct {
	options Options
	models  map[string]*model
}

// model is the learned prefill time of one model: linear*n + square*n*n for n
// tokens, where square is curvature*linear/referenceTokens.
type model struct {
	first          []float64 // ms per token of the first samples; nil once linear is set
	linear         float64   // ms per token; 0: not known yet
	curvature      float64   // ratio of the square to the linear part at referenceTokens
	longSamples    int       // samples from which curvature was learned
	longSinceShort int       // such samples since the last one of a shorter prompt
}

const (
	// stepDown and stepUp are the relative steps by which an estimate moves towards
	// a smaller or larger sample, so that it converges to the quantile at which two
	// fifths of the samples are smaller. A mean would follow first events delayed by
	// other requests, which this instance learns of late or never.
	stepDown = 0.03
	stepUp   = 0.02
	// initialSamples is the number of first samples from which the linear term is
	// taken, and initialRank the position in their ascending order: the same
	// quantile. The smallest would be that of an endpoint that fails fast.
	initialSamples = 8
	initialRank    = 2
	// minSampleTokens excludes short prompts, whose time is mostly overhead.
	minSampleTokens = 1500
	// maxSampleTokens excludes sizes that no engine reads.
	maxSampleTokens = 1e7
	// maxModels bounds the models: on some routes their names come from clients.
	maxModels = 256
	// longTokens is the length from which a sample adjusts the square term instead of
	// the linear one. Below it, the square part of the deployments' engines is less
	// than a tenth of the time, no more than the spread of the samples.
	longTokens = 8000
	// referenceTokens is the length at which the curvature is stated. It is only a
	// unit, so that the steps above apply to both terms.
	referenceTokens = 50000
	// maxCurvature bounds the curvature: the square part is at most three times the
	// linear part at referenceTokens.
	maxCurvature = 3
	// firstCurvatureStep is the bound on the upward step of the curvature at the first
	// long sample; it decreases with the number of samples to stepUp. An instance gets
	// few long samples, so that a constant small step would take minutes.
	firstCurvatureStep = 0.3
	// longOnly is the number of consecutive long samples from which on they adjust the
	// linear term too: otherwise a model that gets no shorter prompts would keep the
	// linear term of its first samples.
	longOnly = 16
)

// New returns a Forecaster without samples. It panics if an option is not positive.
func New(o Options) *Forecaster {
	if o.MsPerToken <= 0 || o.SizeRatio <= 0 {
		panic("forecaster: Options.MsPerToken and Options.SizeRatio must be positive")
	}
	return &Forecaster{options: o, models: make(map[string]*model)}
}

// Predict returns the prefill time in ms of a prompt of which the first cached
// tokens need no prefill. largerModels is the number of larger models on the
// route.
func (f *Forecaster) Predict(name string, largerModels int, tokens, cached float64) float64 {
	m := f.models[name]
	if m == nil || m.linear == 0 {
		estimate := f.options.MsPerToken
		for range largerModels {
			estimate *= f.options.SizeRatio
		}
		return estimate * (tokens - cached)
	}
	return m.linear * (tokens - cached + m.curvature*squares(tokens, cached))
}

// squares returns the difference of the squares of both numbers of tokens, in units
// in which the square part is curvature times the linear part at referenceTokens. A
// token attends to all tokens before it, whether or not they are cached.
func squares(tokens, cached float64) float64 {
	return (tokens*tokens - cached*cached) / referenceTokens
}

// Record adds a sample: the time in ms to the first event on an endpoint without
// other work. It ignores prompts with few tokens to process.
func (f *Forecaster) Record(name string, tokens, cached, ms float64) {
	processed := tokens - cached
	// Written so that NaN is ignored as well.
	if !(processed >= minSampleTokens && tokens <= maxSampleTokens && ms > 0 && ms <= math.MaxInt32) {
		return
	}
	m := f.models[name]
	if m == nil {
		if len(f.models) >= maxModels {
			return
		}
		m = new(model)
		f.models[name] = m
	}
	if m.linear == 0 {
		m.first = append(m.first, ms/processed)
		if len(m.first) == initialSamples {
			slices.Sort(m.first)
			m.linear, m.first = m.first[initialRank], nil
		}
		return
	}
	if tokens < longTokens {
		m.longSinceShort = 0
		m.adjustLinear(processed, squares(tokens, cached), ms)
		return
	}
	m.longSinceShort++
	if m.longSinceShort > longOnly {
		m.adjustLinear(processed, squares(tokens, cached), ms)
	}
	m.adjustCurvature(processed, squares(tokens, cached), ms)
}

// adjustLinear moves the linear term towards that of a sample, given the curvature.
func (m *model) adjustLinear(processed, squares, ms float64) {
	sample := ms / (processed + m.curvature*squares)
	if sample < m.linear {
		m.linear = max(sample, m.linear*(1-stepDown))
	} else {
		m.linear = min(sample, m.linear*(1+stepUp))
	}
}

// adjustCurvature moves the curvature towards that of a sample, given the linear
// term.
func (m *model) adjustCurvature(processed, squares, ms float64) {
	m.longSamples++
	up := max(stepUp, firstCurvatureStep/float64(m.longSamples))
	down := up * stepDown / stepUp
	sample := min(maxCurvature, max(0, (ms/m.linear-processed)/squares))
	m.curvature = min(max(sample, m.curvature-down), m.curvature+up)
}
