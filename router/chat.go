package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/rater"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/scheduler"
)

// versionWait is how long a request waits for an endpoint of its version before it
// looks for another permitted version, if its session does not bind it.
const versionWait = clock.Second

// delivery passes the pieces of an answer to the caller and remembers them.
type delivery struct {
	begin func(version string) (Head, error)
	text  func(string) error
	head  Head
	begun bool
	start clock.Millis
	first clock.Millis // instant of the first piece
}

func (d *delivery) deliver(version, text string, now clock.Millis) error {
	if !d.begun {
		head, err := d.begin(version)
		if err != nil {
			return err
		}
		d.begun, d.head, d.first = true, head, now
	}
	return d.text(text)
}

// Chat answers a model request. Pieces go to the sink as they come. After the
// first piece an error means that the answer is not whole.
func (r *Router) Chat(ctx context.Context, q Request, sink Sink) (Answer, error) {
	if err := r.o.Ready(); err != nil {
		return Answer{}, err
	}
	v := r.o.View()
	w, s, err := permission(v.Fleet, q.Workspace, q.Service, parser.KindModel)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, (q.Deadline - r.o.Now()).Duration())
	defer cancel()
	for {
		answer, err := r.serve(ctx, v, w, s, q, sink)
		if !errors.Is(err, errStale) {
			return answer, err
		}
		r.o.Meter.Event("version_changed_while_waiting")
		v = r.o.View()
		if w, s, err = permission(v.Fleet, q.Workspace, q.Service, parser.KindModel); err != nil {
			return Answer{}, err
		}
	}
}

// serve chooses the versions for a request and runs them.
func (r *Router) serve(
	ctx context.Context, v View, w *parser.Workspace, s *parser.Service, q Request, sink Sink,
) (Answer, error) {
	c, err := r.chain(ctx, v, w, s, q)
	if err != nil {
		return Answer{}, err
	}
	t := turn{r: r, v: v, w: w, s: s, q: q, c: c}
	t.out = delivery{start: q.Arrived, text: sink.Text, begin: func(version string) (Head, error) {
		h := Head{Version: version}
		if q.Session != "" {
			h.Token = r.o.Pin(ctx, w.Name, q.Session, version, c.displaced)
		}
		return h, sink.Begin(h)
	}}
	return t.run(ctx)
}

// turn is one request with its chosen versions.
type turn struct {
	r    *Router
	v    View
	w    *parser.Workspace
	s    *parser.Service
	q    Request
	c    chain
	out  delivery
	cost int64 // micro-units of all steps

	tried map[string]bool // versions that had no room
}

func (t *turn) run(ctx context.Context) (Answer, error) {
	var u *run
	var err error
	if len(t.c.versions) == 2 {
		u, err = t.checkedStep(ctx)
	}
	if u == nil && err == nil {
		u, err = t.lastStep(ctx)
	}
	if err != nil {
		return Answer{}, t.failure(err)
	}
	return t.finish(ctx, u), nil
}

// CheckedKind names the kind under which every checked first answer of a service
// is counted, passed or not.
func CheckedKind(service string) string { return "checked/" + service }

// failure turns an error into a refusal.
func (t *turn) failure(err error) error {
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, errStale):
		return errStale
	case errors.Is(err, context.DeadlineExceeded):
		return refuser.ErrDeadline.WithRun(refuser.RunUnknown).WithMessage("the deadline passed during the answer")
	default:
		return refuser.ErrBackEndFailed.WithMessage("%v", err)
	}
}

// checkedStep runs the first of two versions and checks its answer. It returns
// nil if the answer must come from the second version.
func (t *turn) checkedStep(ctx context.Context) (*run, error) {
	var held []string
	u := t.newRun(t.c.versions[0], func(text string) error { held = append(held, text); return nil })
	at, err := t.generate(ctx, u, 0)
	if err != nil {
		if ctx.Err() != nil {
			return nil, err
		}
		return nil, nil // the second version may still answer
	}
	t.charge(u)
	score, known := t.r.check(ctx, u.version, t.q, u.stream.Text())
	now, key := t.r.o.Now(), t.c.key(t.w.Name, t.s.Name, 0)
	passed := known && score >= t.w.Quality
	if known {
		counted(key, func(k rater.Key) { t.r.o.Rater.Check(k, at, now, passed) })
		// Ratings of passed answers alone would hide a version that mostly fails.
		all := rater.Key{Workspace: t.w.Name, Kind: CheckedKind(t.s.Name), Version: u.version}
		t.r.o.Rater.Serve(all, at, now, false)
		t.r.o.Rater.Ask(all, at, now)
		t.r.o.Rater.Rate(all, at, now, score)
	}
	if !passed {
		t.r.o.Meter.Retried(refuser.RetryEscalate)
		return nil, nil
	}
	counted(key, func(k rater.Key) {
		t.r.o.Rater.Ask(k, at, now)
		t.r.o.Rater.Rate(k, at, now, score)
	})
	for _, text := range held {
		if err := t.out.deliver(u.version, text, now); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// lastStep runs the last version and delivers its pieces as they come. If no
// endpoint of the version has room, it looks for another permitted version.
func (t *turn) lastStep(ctx context.Context) (*run, error) {
	for {
		step := len(t.c.versions) - 1
		version := t.c.versions[step]
		u := t.newRun(version, nil)
		u.deliver = func(text string) error { return t.out.deliver(version, text, t.r.o.Now()) }
		other, hasOther := t.alternative(version)
		if hasOther {
			u.versionWait = versionWait
		}
		at, err := t.generate(ctx, u, step)
		if err == nil {
			t.charge(u)
			t.sample(u, step, at)
			return u, nil
		}
		if !hasOther || t.out.begun || !errors.IsAny(err, refuser.ErrNoEndpoint, refuser.ErrWithdrawn) {
			return nil, err
		}
		t.r.o.Meter.Event("version_without_room")
		t.c = chain{versions: []string{other}, reason: "no_room"}
	}
}

// alternative returns another version for a request whose version has no room:
// the best one that meets the workspace's quality by its ratings or, without
// ratings, by its prior. Each version is tried once.
func (t *turn) alternative(version string) (string, bool) {
	if t.c.pinned || t.q.Model != "" {
		return "", false
	}
	if t.tried == nil {
		t.tried = map[string]bool{}
	}
	t.tried[version] = true
	table, err := t.r.candidates(t.v, t.w, t.s, t.q)
	if err != nil {
		return "", false
	}
	table = table.With(t.r.o.Rater, t.w.Name, t.s.Name, []string{t.s.Name}, t.r.o.Now())
	best := -1
	for i, v := range table.Version {
		quality, _ := table.Only[i].Quality(t.r.o.Planner.Delta)
		meets := quality >= t.w.Quality || table.Only[i].Rated == 0 && table.Prior[i] >= t.w.Quality
		if meets && !t.tried[v] && (best < 0 || table.Prior[i] > table.Prior[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return table.Version[best], true
}

func (t *turn) newRun(version string, deliver func(string) error) *run {
	v, _ := t.v.Fleet.Version(version)
	return &run{
		r: t.r, q: t.q, model: t.v.Fleet.Models[v.Model], version: version, service: t.s.Name, deliver: deliver,
	}
}

// errStale tells that the configuration no longer lets a version run that was
// chosen before the request waited.
var errStale = errors.New("router: the version may no longer be used")

// generate waits for the pool of the step's model, runs the step there and
// counts it for the version.
func (t *turn) generate(ctx context.Context, u *run, step int) (at clock.Millis, err error) {
	leave, err := t.r.o.Admit.Enter(ctx, u.model.Name, scheduler.Item{
		ID: t.r.o.AttemptID(), Workspace: t.w.Name, Priority: t.w.Priority, Deadline: t.q.Deadline,
	})
	if err != nil {
		return 0, err
	}
	defer func() { leave(err == nil) }()
	if err = t.recheck(u.version); err != nil {
		return 0, err
	}
	at = t.r.o.Now()
	err = u.answer(ctx)
	now := t.r.o.Now()
	callerLeft := err != nil && ctx.Err() != nil
	if !callerLeft && !errors.IsAny(err, refuser.ErrNoEndpoint, errStale) {
		counted(t.c.key(t.w.Name, t.s.Name, step), func(k rater.Key) { t.r.o.Rater.Serve(k, at, now, err != nil) })
	}
	if err == nil {
		t.r.learnDuration(u.version, now-at)
	}
	return at, err
}

// recheck looks at the configuration again after a wait.
func (t *turn) recheck(version string) error {
	if err := t.r.o.Ready(); err != nil {
		return err
	}
	v := t.r.o.View()
	w, s, err := permission(v.Fleet, t.w.Name, t.s.Name, parser.KindModel)
	if err != nil {
		return err
	}
	if !v.usable(w, s, version) {
		return errStale
	}
	return nil
}

// charge adds the price of a finished step. Repeated attempts after a failure
// cost the caller nothing.
func (t *turn) charge(u *run) {
	t.cost += t.v.Fleet.Cost(u.version, len(t.q.Prompt)/bytesPerToken, u.tokens())
}

// tokens returns the length of the whole answer, with the part that the caller
// brought from a broken stream.
func (u *run) tokens() int { return u.stream.Tokens() + len(u.q.Partial)/bytesPerToken }

// finish bills a whole answer and returns it.
func (t *turn) finish(ctx context.Context, u *run) Answer {
	if !t.out.begun { // an empty answer
		_ = t.out.deliver(u.version, "", t.r.o.Now())
	}
	a := Answer{
		Head: t.out.head, Text: u.stream.Text(), Finish: u.stream.Finish(),
		TokensIn: len(t.q.Prompt) / bytesPerToken, TokensOut: u.tokens(),
	}
	t.r.o.Bill(context.WithoutCancel(ctx), Bill{
		Workspace: t.w.Name, RequestID: t.q.ID, Service: t.s.Name, Version: u.version,
		TokensIn: a.TokensIn, TokensOut: a.TokensOut, Cost: t.cost,
	})
	t.r.succeeded(t.s.Name, t.w.Name)
	t.r.o.Meter.Answered(t.s.Name, t.w.Name)
	t.r.o.Meter.Tokens(u.version, a.TokensIn, a.TokensOut)
	t.r.o.Meter.FirstToken(t.s.Name, t.out.first-t.out.start)
	return a
}

// sample sends a share of the answers to the rating service.
func (t *turn) sample(u *run, step int, at clock.Millis) {
	share := t.c.rate
	if share == 0 {
		share = t.s.RatingPercent / 100
	}
	if !t.r.chance(share) {
		return
	}
	key := t.c.key(t.w.Name, t.s.Name, step)
	counted(key, func(k rater.Key) { t.r.o.Rater.Ask(k, at, t.r.o.Now()) })
	t.r.enqueueRating(rating{
		key: key, at: at, request: t.q.ID, version: u.version, prompt: t.q.Prompt, answer: u.stream.Text(),
	})
}

// ratingTimeout bounds one call to the rating service off the request path.
const ratingTimeout = 5 * time.Second
