package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// versionWaitLimit is how long a request waits for an endpoint of its version
// before it falls back to another permitted version. Requests that are bound to
// a version by their session or by the caller wait until their deadline.
const versionWaitLimit = clock.Second

// delivery passes the pieces of an answer to the caller. Before the first piece it
// calls begin and keeps the head that begin returns.
type delivery struct {
	begin     func(version string) (AnswerHead, error)
	text      func(string) error
	head      AnswerHead
	begun     bool
	arrivedAt clock.Millis // instant at which the request arrived
	firstAt   clock.Millis // instant at which the first piece was delivered
}

func (d *delivery) deliver(version, text string, now clock.Millis) error {
	if !d.begun {
		head, err := d.begin(version)
		if err != nil {
			return err
		}
		d.begun, d.head, d.firstAt = true, head, now
	}
	return d.text(text)
}

// Chat answers a model request. Pieces of the answer are passed to the sink as
// they arrive. An error after the first piece means that the answer is
// incomplete. If the configuration ceases to permit the chosen version while the
// request waits, the versions are chosen again.
func (r *Router) Chat(ctx context.Context, q Request, sink Sink) (Answer, error) {
	if err := r.opts.CheckReady(); err != nil {
		return Answer{}, err
	}
	config := r.opts.Config()
	w, s, err := checkAccess(config.Fleet, q.Workspace, q.Service, parser.KindModel)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, (q.Deadline - r.opts.Now()).Duration())
	defer cancel()
	for {
		answer, err := r.serve(ctx, config, w, s, q, sink)
		if !errors.Is(err, errVersionUnusable) {
			return answer, err
		}
		r.opts.Meter.CountEvent("version_changed_while_waiting")
		config = r.opts.Config()
		if w, s, err = checkAccess(config.Fleet, q.Workspace, q.Service, parser.KindModel); err != nil {
			return Answer{}, err
		}
	}
}

// serve chooses the chain of versions for a request and runs it.
func (r *Router) serve(
	ctx context.Context, config ConfigSnapshot, w *parser.Workspace, s *parser.Service, q Request, sink Sink,
) (Answer, error) {
	chosen, err := r.chooseChain(ctx, config, w, s, q)
	if err != nil {
		return Answer{}, err
	}
	e := execution{router: r, config: config, workspace: w, service: s, request: q, chain: chosen}
	e.delivery = delivery{arrivedAt: q.Arrived, text: sink.Text, begin: func(version string) (AnswerHead, error) {
		head := AnswerHead{Version: version}
		if q.Session != "" {
			head.Token = r.opts.PinVersion(ctx, w.Name, q.Session, version, chosen.displacedVersion)
		}
		return head, sink.Begin(head)
	}}
	return e.run(ctx)
}

// execution is the processing of one request by a chain of versions.
type execution struct {
	router    *Router
	config    ConfigSnapshot
	workspace *parser.Workspace
	service   *parser.Service
	request   Request
	chain     chain
	delivery  delivery
	cost      int64 // of all finished steps, in micro-units

	triedVersions map[string]bool // versions for which no endpoint had free capacity
}

// run runs the steps of the chain and returns the complete answer or a refusal.
func (e *execution) run(ctx context.Context) (Answer, error) {
	var g *generation
	var err error
	if len(e.chain.versions) == 2 {
		g, err = e.checkedStep(ctx)
	}
	if g == nil && err == nil {
		g, err = e.lastStep(ctx)
	}
	if err != nil {
		return Answer{}, e.refusal(err)
	}
	return e.complete(ctx, g), nil
}

// CheckedKind returns the kind under which the ratings of all checked first
// answers of a service are counted, whether they passed the check or not.
func CheckedKind(service string) string { return "checked/" + service }

// refusal converts an error into a refusal. It keeps errVersionUnusable, on
// which the versions are chosen again.
func (e *execution) refusal(err error) error {
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, errVersionUnusable):
		return errVersionUnusable
	case errors.Is(err, context.DeadlineExceeded):
		return refuser.ErrDeadline.WithExecution(refuser.ExecutionUnknown).
			WithMessage("the deadline passed before the answer was complete")
	default:
		return refuser.ErrBackEndFailed.WithMessage("%v", err)
	}
}

// checkedStep runs the first of two versions, buffers its answer and delivers it
// if the rating service finds it good enough. It returns nil if the answer must
// come from the second version.
func (e *execution) checkedStep(ctx context.Context) (*generation, error) {
	var buffered []string
	g := e.newGeneration(e.chain.versions[0], func(text string) error {
		buffered = append(buffered, text)
		return nil
	})
	servedAt, err := e.runStep(ctx, g, 0)
	if err != nil {
		if ctx.Err() != nil {
			return nil, err
		}
		return nil, nil // the second version may still answer
	}
	e.addCost(g)
	score, known := e.router.check(ctx, g.version, e.request, g.stream.Text())
	now, key := e.router.opts.Now(), e.chain.estimatorKey(e.workspace.Name, e.service.Name, 0)
	passed := known && score >= e.workspace.TargetQuality
	if known {
		recordPooled(key, func(k estimator.Key) { e.router.opts.Estimator.CountCheck(k, servedAt, now, passed) })
		// The ratings of passed answers alone would hide that most answers of a
		// version fail their check.
		checkedKey := estimator.Key{Workspace: e.workspace.Name, Kind: CheckedKind(e.service.Name), Version: g.version}
		e.router.opts.Estimator.CountAnswer(checkedKey, servedAt, now, false)
		e.router.opts.Estimator.CountRatingRequest(checkedKey, servedAt, now)
		e.router.opts.Estimator.CountRating(checkedKey, servedAt, now, score)
	}
	if !passed {
		e.router.opts.Meter.CountRetry(refuser.RetryEscalate)
		return nil, nil
	}
	recordPooled(key, func(k estimator.Key) {
		e.router.opts.Estimator.CountRatingRequest(k, servedAt, now)
		e.router.opts.Estimator.CountRating(k, servedAt, now, score)
	})
	for _, text := range buffered {
		if err := e.delivery.deliver(g.version, text, now); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// lastStep runs the last version of the chain and delivers the pieces of its
// answer as they arrive. If no endpoint of the version has free capacity or the
// version is withdrawn, it falls back to another permitted version.
func (e *execution) lastStep(ctx context.Context) (*generation, error) {
	for {
		step := len(e.chain.versions) - 1
		version := e.chain.versions[step]
		g := e.newGeneration(version, nil)
		g.deliver = func(text string) error { return e.delivery.deliver(version, text, e.router.opts.Now()) }
		other, hasOther := e.alternativeVersion(version)
		if hasOther {
			g.waitLimit = versionWaitLimit
		}
		servedAt, err := e.runStep(ctx, g, step)
		if err == nil {
			e.addCost(g)
			e.sampleForRating(g, step, servedAt)
			return g, nil
		}
		if !hasOther || e.delivery.begun || !errors.IsAny(err, refuser.ErrNoEndpoint, refuser.ErrWithdrawn) {
			return nil, err
		}
		e.router.opts.Meter.CountEvent("version_without_room")
		e.chain = chain{versions: []string{other}, reason: "no_room"}
	}
}

// alternativeVersion returns a version to fall back to if no endpoint of the
// given one has free capacity: the untried one of the highest prior quality among
// those that meet the workspace's target quality, either by the lower bound of
// their rated quality or, without ratings, by their prior. It reports false if
// there is none, or if the request is bound to its version.
func (e *execution) alternativeVersion(version string) (string, bool) {
	if e.chain.pinned || e.request.Model != "" {
		return "", false
	}
	if e.triedVersions == nil {
		e.triedVersions = map[string]bool{}
	}
	e.triedVersions[version] = true
	table, err := e.router.candidates(e.config, e.workspace, e.service, e.request)
	if err != nil {
		return "", false
	}
	table = table.WithCounts(
		e.router.opts.Estimator, e.workspace.Name, e.service.Name, []string{e.service.Name}, e.router.opts.Now(),
	)
	best := -1
	for i, v := range table.Version {
		quality, _ := table.Only[i].QualityBounds(e.router.opts.Planner.Delta)
		meets := quality >= e.workspace.TargetQuality ||
			table.Only[i].Rated == 0 && table.Prior[i] >= e.workspace.TargetQuality
		if meets && !e.triedVersions[v] && (best < 0 || table.Prior[i] > table.Prior[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return table.Version[best], true
}

func (e *execution) newGeneration(version string, deliver func(string) error) *generation {
	known, _ := e.config.Fleet.Version(version)
	return &generation{
		router: e.router, request: e.request, model: e.config.Fleet.Models[known.ModelIndex], version: version,
		service: e.service.Name, deliver: deliver,
	}
}

// errVersionUnusable means that the configuration changed while the request
// waited and no longer permits the version that was chosen.
var errVersionUnusable = errors.New("router: version is no longer permitted")

// runStep waits for admission to the pool of the step's model, runs the step and
// counts its outcome for the version. It returns the instant of admission, under
// which the counts of the step are recorded. Failures that say nothing about the
// version, such as a missing endpoint or a caller that left, are not counted.
func (e *execution) runStep(ctx context.Context, g *generation, step int) (servedAt clock.Millis, err error) {
	release, err := e.router.opts.Admitter.Admit(ctx, g.model.Name, scheduler.Request{
		ID: e.router.opts.AttemptID(), Workspace: e.workspace.Name, Priority: e.workspace.Priority,
		Deadline: e.request.Deadline,
	})
	if err != nil {
		return 0, err
	}
	defer func() { release(err == nil) }()
	if err = e.recheckVersion(g.version); err != nil {
		return 0, err
	}
	servedAt = e.router.opts.Now()
	err = g.run(ctx)
	now := e.router.opts.Now()
	callerLeft := err != nil && ctx.Err() != nil
	if !callerLeft && !errors.IsAny(err, refuser.ErrNoEndpoint, errVersionUnusable) {
		recordPooled(e.chain.estimatorKey(e.workspace.Name, e.service.Name, step), func(k estimator.Key) {
			e.router.opts.Estimator.CountAnswer(k, servedAt, now, err != nil)
		})
	}
	if err == nil {
		e.router.recordDuration(g.version, now-servedAt)
	}
	return servedAt, err
}

// recheckVersion returns an error if the configuration in force after the wait
// for admission no longer permits the version.
func (e *execution) recheckVersion(version string) error {
	if err := e.router.opts.CheckReady(); err != nil {
		return err
	}
	config := e.router.opts.Config()
	w, s, err := checkAccess(config.Fleet, e.workspace.Name, e.service.Name, parser.KindModel)
	if err != nil {
		return err
	}
	if !config.usable(w, s, version) {
		return errVersionUnusable
	}
	return nil
}

// addCost adds the price of a finished step. Failed attempts of the step are not
// charged.
func (e *execution) addCost(g *generation) {
	e.cost += e.config.Fleet.Cost(g.version, len(e.request.Prompt)/bytesPerToken, g.tokens())
}

// tokens returns the length in tokens of the complete answer, including the part
// that the caller already received over a stream that broke.
func (g *generation) tokens() int { return g.stream.Tokens() + len(g.request.Partial)/bytesPerToken }

// complete bills a complete answer, records it in the metrics and returns it.
func (e *execution) complete(ctx context.Context, g *generation) Answer {
	if !e.delivery.begun { // an empty answer
		_ = e.delivery.deliver(g.version, "", e.router.opts.Now())
	}
	a := Answer{
		AnswerHead: e.delivery.head, Text: g.stream.Text(), Finish: g.stream.FinishReason(),
		TokensIn: len(e.request.Prompt) / bytesPerToken, TokensOut: g.tokens(),
	}
	e.router.opts.AddBill(context.WithoutCancel(ctx), Bill{
		Workspace: e.workspace.Name, RequestID: e.request.ID, Service: e.service.Name, Version: g.version,
		TokensIn: a.TokensIn, TokensOut: a.TokensOut, Cost: e.cost,
	})
	e.router.recordSuccess(e.service.Name, e.workspace.Name)
	e.router.opts.Meter.CountRequest(e.service.Name, e.workspace.Name)
	e.router.opts.Meter.CountTokens(g.version, a.TokensIn, a.TokensOut)
	e.router.opts.Meter.ObserveFirstToken(e.service.Name, e.delivery.firstAt-e.delivery.arrivedAt)
	return a
}

// sampleForRating queues an answer for the rating service with the probability
// that the chain states or, if that is 0, with the share of the service.
func (e *execution) sampleForRating(g *generation, step int, servedAt clock.Millis) {
	share := e.chain.ratingProbability
	if share == 0 {
		share = e.service.RatingPercent / 100
	}
	if !e.router.bernoulli(share) {
		return
	}
	key := e.chain.estimatorKey(e.workspace.Name, e.service.Name, step)
	recordPooled(key, func(k estimator.Key) {
		e.router.opts.Estimator.CountRatingRequest(k, servedAt, e.router.opts.Now())
	})
	e.router.enqueueRating(ratingJob{
		key: key, servedAt: servedAt, requestID: e.request.ID, version: g.version, prompt: e.request.Prompt,
		answer: g.stream.Text(),
	})
}

// ratingTimeout bounds one call to the rating service for a sampled answer,
// which is made in the background after the answer was delivered.
const ratingTimeout = 5 * time.Second
