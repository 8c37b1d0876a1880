package assembler

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/claimer"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/ratingclient"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
	"rosemaryarch.example/rosemaryarch/serviceclient"
	"rosemaryarch.example/rosemaryarch/signer"
)

// Kinds of the messages about call records.
const (
	kindCommit  = "commit"
	kindAttempt = "attempt_ask"
)

// forwardTimeout bounds the commit of a change that a peer has forwarded.
const forwardTimeout = 5 * time.Second

// commitRequest asks the preferred writer of a shard to commit a change.
type commitRequest struct {
	Shard  string `cbor:"shard"`
	Key    string `cbor:"key"`
	Change []byte `cbor:"change"`
}

// commitReply is the outcome of a forwarded change. NotExecuted states that the
// change was certainly not made. After an Error without NotExecuted, the change may
// have been made.
type commitReply struct {
	Value       []byte `cbor:"value"`
	Error       string `cbor:"error,omitempty"`
	NotExecuted bool   `cbor:"not_executed,omitempty"`
}

// attemptRequest asks the instance that made an attempt for its state.
type attemptRequest struct {
	Attempt string `cbor:"attempt"`
}

type attemptReply struct {
	State claimer.State `cbor:"state"`
}

// buildState creates the components that store records in the object store, and
// handles the messages about them.
func (i *Instance) buildState() {
	i.committer = committer.New(i.store, i.clock, committer.Options{
		Instance: i.settings.Instance, Incarnation: i.incarnation, Seed: i.incarnation,
		Segments: recordSegments, Retention: recordRetention,
	})
	i.committer.OnRetry = i.meter.CountRetry
	// Bills have their own committer with a longer interval. They can wait, since
	// two instances hold each bill until it is committed.
	i.billCommitter = committer.New(i.store, i.clock, committer.Options{
		Instance: i.settings.Instance + "-bills", Incarnation: i.incarnation, Seed: i.incarnation,
		Interval: billCommitInterval, Segments: billSegments, Retention: billRetention,
	})
	i.billCommitter.OnRetry = i.meter.CountRetry
	i.claimer = claimer.New(i.committer, i.clock, i.settings.Instance, i.incarnation)
	i.claimer.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
		return i.forward(ctx, kindCommit, shard, key, change, i.claimer.CommitLocal)
	}
	i.claimer.QueryAttempt = i.queryAttempt
	i.claimer.LookUp = i.lookUp
	i.handleCommit(kindCommit, i.claimer.CommitLocal)
	i.buildRecords()
	i.messenger.Handle(kindAttempt, func(_ context.Context, e messenger.Envelope) ([]byte, error) {
		var q attemptRequest
		if err := cbor.Unmarshal(e.Body, &q); err != nil {
			return nil, errors.Wrap(err, "assembler: decode attempt request")
		}
		return cbor.Marshal(attemptReply{State: i.claimer.State(q.Attempt)})
	})
}

// preferredWriter returns the alive member with the highest rendezvous hash for a
// shard. Commits go through it to avoid write conflicts. If instances disagree
// about the writer, the conditional updates of the store still keep the data
// consistent.
func (i *Instance) preferredWriter(shard string) gossiper.Member {
	var best gossiper.Member
	var highest uint64
	for _, m := range i.gossip.Members() {
		if m.State != gossiper.Alive {
			continue
		}
		if h := xxhash.Sum64String(shard + "\x00" + m.ID); best.ID == "" || h > highest {
			best, highest = m, h
		}
	}
	return best
}

// commitLocal commits a change of a record by this instance.
type commitLocal = func(ctx context.Context, shard, key string, change []byte) ([]byte, error)

// forward commits a change of a record through the preferred writer of the shard,
// or locally if this instance is the writer or the request cannot be sent.
func (i *Instance) forward(
	ctx context.Context, kind, shard, key string, change []byte, local commitLocal,
) ([]byte, error) {
	w := i.preferredWriter(shard)
	if w.ID == i.settings.Instance || w.ID == "" {
		return local(ctx, shard, key, change)
	}
	body, err := cbor.Marshal(commitRequest{Shard: shard, Key: key, Change: change})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "assembler: encode commit"), committer.ErrNotExecuted)
	}
	answer, err := i.messenger.Call(ctx, w.Address, kind, body)
	if errors.IsAny(err, messenger.ErrUnreachable, messenger.ErrQueueFull, messenger.ErrTooLarge) {
		return local(ctx, shard, key, change)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "assembler: forward commit"), committer.ErrUnknown)
	}
	var r commitReply
	if err := cbor.Unmarshal(answer, &r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "assembler: decode commit"), committer.ErrUnknown)
	}
	switch {
	case r.Error == "":
		return r.Value, nil
	case r.NotExecuted:
		return nil, errors.Mark(errors.Newf("%s", r.Error), committer.ErrNotExecuted)
	default:
		return nil, errors.Mark(errors.Newf("%s", r.Error), committer.ErrUnknown)
	}
}

// handleCommit commits the changes that peers forward in messages of a kind.
func (i *Instance) handleCommit(kind string, local commitLocal) {
	i.messenger.Handle(kind, func(ctx context.Context, e messenger.Envelope) ([]byte, error) {
		var q commitRequest
		if err := cbor.Unmarshal(e.Body, &q); err != nil {
			return nil, errors.Wrap(err, "assembler: decode commit")
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		value, err := local(ctx, q.Shard, q.Key, q.Change)
		r := commitReply{Value: value}
		if err != nil {
			r.Error = err.Error()
			r.NotExecuted = errors.IsAny(err, committer.ErrNotExecuted, committer.ErrRefused)
		}
		return cbor.Marshal(r)
	})
}

// queryAttempt asks the instance that made an attempt for the attempt's state.
func (i *Instance) queryAttempt(ctx context.Context, instance, attempt string) claimer.State {
	for _, m := range i.gossip.Members() {
		if m.ID != instance || m.State == gossiper.Dead {
			continue
		}
		body, err := cbor.Marshal(attemptRequest{Attempt: attempt})
		if err != nil {
			return claimer.Unreachable
		}
		answer, err := i.messenger.Call(ctx, m.Address, kindAttempt, body)
		var r attemptReply
		if err != nil || cbor.Unmarshal(answer, &r) != nil {
			return claimer.Unreachable
		}
		return r.State
	}
	return claimer.Unreachable
}

// lookUp asks a plain service for the outcome of a call, by the key that sendCall
// has passed to the service.
func (i *Instance) lookUp(ctx context.Context, call claimer.Call, _ string) (claimer.Answer, claimer.State) {
	s, ok := i.config.current().fleet.Service(call.Service)
	if !ok || !s.LookUp {
		return claimer.Answer{}, claimer.Unknown
	}
	for _, r := range i.tracker.EndpointStates(i.clock.Now()) {
		if r.Service != call.Service {
			continue
		}
		client := serviceclient.NewHTTP(r.Address, i.serviceClient)
		a, err := client.LookUp(ctx, "/"+call.Service, serviceKey(call.Workspace, call.Key))
		switch {
		case err == nil:
			return claimer.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, claimer.Done
		case errors.IsAny(err, serviceclient.ErrNotFound, serviceclient.ErrRunning, serviceclient.ErrNoLookUp):
			// A call that the service does not know may still arrive.
			return claimer.Answer{}, claimer.Unknown
		}
	}
	return claimer.Answer{}, claimer.Unknown
}

// serviceKey returns the idempotency key that is passed to a service. It contains
// the workspace, since callers of different workspaces may use the same key.
func serviceKey(workspace, key string) string { return workspace + "." + key }

// servicePath returns the path under which a call is sent to an endpoint. In the
// path of a look-up, the caller's key is replaced by serviceKey, so that a
// workspace can only look up its own calls.
func (i *Instance) servicePath(c router.Call) string {
	clean := path.Clean("/" + c.Path)
	s, ok := i.config.current().fleet.Service(c.Service)
	if !ok || !s.LookUp || c.Method != http.MethodGet && c.Method != http.MethodHead {
		return clean
	}
	key, ok := strings.CutPrefix(clean, "/"+c.Service+"/")
	if !ok {
		return clean
	}
	return "/" + c.Service + "/" + serviceKey(c.Workspace, key)
}

// runAtMostOnce executes a call with an idempotency key at most once; see
// claimer.Claimer.Do.
func (i *Instance) runAtMostOnce(
	ctx context.Context, c router.Call, run func(context.Context, string) (router.Reply, error),
) (router.Reply, error) {
	sum := sha256.Sum256(append([]byte(c.Method+" "+c.Path+"?"+c.Query+"\n"), c.Body...))
	executed := false
	answer, err := i.claimer.Do(ctx, claimer.Call{
		Workspace: c.Workspace, Service: c.Service, Key: c.IdempotencyKey, BodyHash: sum[:], Deadline: c.Deadline,
	}, func(ctx context.Context, attempt string) (claimer.Answer, error) {
		executed = true
		r, err := run(ctx, attempt)
		return claimer.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body}, markNotSent(err)
	})
	if err != nil {
		return router.Reply{}, err
	}
	reply := router.Reply{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Repeated: !executed}
	if answer.Digest != nil && reply.Body == nil {
		reply.ContentType = "text/plain"
		reply.Body = []byte(fmt.Sprintf("the answer was too large to keep; its SHA-256 is %x\n", answer.Digest))
	}
	return reply, nil
}

// markNotSent marks errors after which the call was certainly not executed with
// claimer.ErrNotSent.
func markNotSent(err error) error {
	if errors.IsAny(err, exchanger.ErrNotSent, exchanger.ErrRefused) {
		return errors.Mark(err, claimer.ErrNotSent)
	}
	return err
}

// Headers of requests to plain services.
const (
	headerIdempotency = "Idempotency-Key"
	headerAttempt     = "X-Attempt-Id"
)

// maxReplyBytes bounds the body of an answer of a plain service.
const maxReplyBytes = 4 << 20

// sendCall sends a call to an endpoint once, without retries. An answer with a
// status below 500 means that the call was executed.
func (i *Instance) sendCall(ctx context.Context, address, attempt string, c router.Call) (router.Reply, error) {
	target, err := url.Parse(address)
	if err != nil {
		return router.Reply{}, errors.Mark(errors.Wrap(err, "assembler: parse endpoint address"), exchanger.ErrNotSent)
	}
	target.Path, target.RawQuery = i.servicePath(c), c.Query
	req, err := http.NewRequestWithContext(ctx, c.Method, target.String(), bytes.NewReader(c.Body))
	if err != nil {
		return router.Reply{}, errors.Mark(errors.Wrap(err, "assembler: build request"), exchanger.ErrNotSent)
	}
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	if c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotency, serviceKey(c.Workspace, c.IdempotencyKey))
	}
	req.Header.Set(headerAttempt, attempt)
	return i.exchange(req)
}

// rateAnswer asks the rating service for the quality of an answer.
func (i *Instance) rateAnswer(ctx context.Context, requestID, version, prompt, answer string) (float64, error) {
	client := ratingclient.NewHTTP(i.settings.Rating, i.plainClient)
	return client.Rate(ctx, ratingclient.Answer{RequestID: requestID, Version: version, Prompt: prompt, Text: answer})
}

// pinnedVersion returns the model version of a session from its token or, without
// a valid token, from the stored pin. It returns "" if neither is found.
func (i *Instance) pinnedVersion(ctx context.Context, workspace, session, token string) string {
	if token != "" {
		t, err := i.config.current().signer.Verify(token, workspace)
		if err == nil && t.Session == session {
			return t.Version
		}
		i.meter.CountEvent("session_token_invalid")
	}
	return i.storedPin(ctx, workspace, session)
}

// pinVersion stores the model version of a session and returns its session token.
// An existing pin is replaced only if it names the displaced version.
func (i *Instance) pinVersion(_ context.Context, workspace, session, version, displaced string) string {
	model, _, _ := strings.Cut(version, "@")
	token, err := i.config.current().signer.Sign(signer.Token{
		Workspace: workspace, Session: session, Model: model, Version: version, IssuedAt: i.clock.Now(),
	})
	if err != nil && !errors.Is(err, signer.ErrNoKey) {
		klog.Errorf("assembler: cannot sign session token: %v", err)
	}
	i.storePin(workspace, session, version, displaced)
	return token
}

// exchange sends a request to a plain service and reads the answer. An answer with
// a status below 500 is passed on as the answer of the service, unless it states
// that the request was not executed.
func (i *Instance) exchange(req *http.Request) (router.Reply, error) {
	resp, err := exchanger.Send(i.serviceClient, req)
	var status *exchanger.StatusError
	if errors.As(err, &status) && status.Status < http.StatusInternalServerError &&
		status.Execution != refuser.NotExecuted {
		return router.Reply{Status: status.Status, ContentType: status.ContentType, Body: status.Body}, nil
	}
	if err != nil {
		return router.Reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return router.Reply{}, errors.Mark(errors.Wrap(err, "assembler: read answer"), exchanger.ErrOutcomeUnknown)
	}
	if len(body) > maxReplyBytes {
		return router.Reply{}, errors.Mark(
			errors.Newf("the answer exceeds %d bytes", maxReplyBytes), exchanger.ErrOutcomeUnknown)
	}
	return router.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
