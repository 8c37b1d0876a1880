package platformemulator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/ratingclient"
	"rosemaryarch.example/rosemaryarch/serviceclient"
	"rosemaryarch.example/rosemaryarch/weightclient"
)

// start serves an emulator over HTTP. Its sleeps advance the returned clock
// instead of taking time.
func start(t *testing.T, o Options) (*Emulator, *clock.Manual, *httptest.Server) {
	t.Helper()
	manual := clock.NewManual(1000)
	o.Now = manual.Now
	o.Sleep = func(_ context.Context, d clock.Millis) error {
		manual.Advance(d)
		return nil
	}
	e := New(o)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return e, manual, srv
}

func booking(key string) serviceclient.Call {
	return serviceclient.Call{
		Path: "/bookings", Key: key, ContentType: "application/json", Body: []byte(`{"visit":"9:00"}`),
	}
}

// TestServiceCalls guards against a call that the client sends twice, against a
// call that ran but is reported as not executed, and against a look-up that does
// not find it.
func TestServiceCalls(t *testing.T) {
	unknown, noLookUp := serviceclient.ErrOutcomeUnknown, serviceclient.ErrNoLookUp
	lost, withoutLookUp := Faults{LoseResponses: 1}, Options{NoLookUp: true}
	cases := map[string]struct {
		options    Options
		faults     Faults
		want       error
		wantRuns   int
		wantLookUp error
	}{
		"done":               {Options{}, Faults{}, nil, 1, nil},
		"slow":               {Options{}, Faults{ServiceDelay: 60000, AnswerDelay: 60000}, nil, 1, nil},
		"refused":            {Options{}, Faults{RefuseCalls: true}, serviceclient.ErrRefused, 0, serviceclient.ErrNotFound},
		"cut before effect":  {Options{}, Faults{CutBeforeEffect: 1}, unknown, 0, serviceclient.ErrNotFound},
		"answer lost":        {Options{}, lost, unknown, 1, nil},
		"lost, no look-up":   {withoutLookUp, lost, unknown, 1, noLookUp},
		"lost, deduplicated": {Options{NoLookUp: true, Deduplicate: true}, lost, unknown, 1, noLookUp},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, _, srv := start(t, c.options)
			client := serviceclient.NewHTTP(srv.URL, srv.Client())
			// The first call leaves an idle connection; net/http resends a request
			// on a new connection if it considers it idempotent and the idle one
			// is lost.
			if _, err := client.Do(t.Context(), booking("first")); err != nil {
				t.Fatal(err)
			}
			e.SetFaults(c.faults)
			a, err := client.Do(t.Context(), booking("k/1 ä"))
			if !errors.Is(err, c.want) || err == nil && a.Status != http.StatusCreated {
				t.Errorf("call: got %d, %v, want %v", a.Status, err, c.want)
			}
			if got := e.RunCount("bookings", "k/1 ä"); got != c.wantRuns {
				t.Errorf("runs: got %d, want %d", got, c.wantRuns)
			}
			if got, want := e.DeliveryCount("", 999), 2; got != want {
				t.Errorf("deliveries: got %d, want %d", got, want)
			}
			found, err := client.LookUp(t.Context(), "/bookings", "k/1 ä")
			if !errors.Is(err, c.wantLookUp) || err == nil && !strings.Contains(string(found.Body), `"visit":"9:00"`) {
				t.Errorf("look-up: got %s, %v, want %v", found.Body, err, c.wantLookUp)
			}
			e.SetFaults(Faults{})
			_, err = client.Do(t.Context(), booking("k/1 ä"))
			want := c.wantRuns + 1
			if c.options.Deduplicate {
				want = 1
			}
			if got := e.RunCount("bookings", "k/1 ä"); err != nil || got != want {
				t.Errorf("runs after another delivery: got %d, %v, want %d", got, err, want)
			}
		})
	}
}

// TestList guards against a change of the instance list that becomes visible
// before Options.ListDelay has passed, or never.
func TestList(t *testing.T) {
	e, manual, srv := start(t, Options{ListDelay: 3000})
	list := listclient.NewHTTP(srv.URL, srv.Client()).List
	m := listclient.Member{ID: "b", Address: "127.0.0.1:1", Kind: listclient.KindPlain, State: listclient.StateLive}
	e.SetMember(m)
	manual.Advance(1000)
	m.State = listclient.StateLeaving
	e.SetMember(m)
	e.SetMember(listclient.Member{ID: "a"})
	manual.Advance(1000)
	e.RemoveMember("b")
	for _, want := range []string{"", "b:live", "a: b:leaving", "a:"} {
		members, err := list(t.Context())
		var got []string
		for _, m := range members {
			got = append(got, m.ID+":"+m.State)
		}
		if g := strings.Join(got, " "); err != nil || g != want {
			t.Errorf("at %d: got %q, %v, want %q", manual.Now(), g, err, want)
		}
		manual.Advance(1000)
	}
	e.SetFaults(Faults{ListDown: true})
	if _, err := list(t.Context()); !errors.Is(err, listclient.ErrRefused) {
		t.Errorf("outage: got %v, want ErrRefused", err)
	}
}

// TestRatingsAndWeights guards against a rating that ignores the version, and
// against a weight store without a rate limit or without Retry-After.
func TestRatingsAndWeights(t *testing.T) {
	e, manual, srv := start(t, Options{
		Seed: 1, Quality: map[string]float64{"m@1": 0.9, "m@2": 0.3},
		Weights: map[string]int64{"m@1": 7}, WeightsPerMinute: 6, WeightsBurst: 2,
	})
	rate := ratingclient.NewHTTP(srv.URL, srv.Client()).Rate
	good, err := rate(t.Context(), ratingclient.Answer{RequestID: "r", Version: "m@1"})
	weak, err2 := rate(t.Context(), ratingclient.Answer{RequestID: "r", Version: "m@2"})
	if err != nil || err2 != nil || good < 0.8 || weak > 0.6 {
		t.Errorf("scores: got %.2f, %.2f, %v, %v, want about 0.9, 0.3", good, weak, err, err2)
	}
	e.SetFaults(Faults{RatingDown: true, RatingDelay: 5000})
	if _, err := rate(t.Context(), ratingclient.Answer{}); !errors.Is(err, ratingclient.ErrRefused) {
		t.Errorf("outage: got %v, want ErrRefused", err)
	}
	fetch := weightclient.NewHTTP(srv.URL, srv.Client()).ReserveDownload
	for i, want := range []error{nil, nil, weightclient.ErrLimited, nil, weightclient.ErrLimited} {
		w, err := fetch(t.Context(), "m@1")
		if !errors.Is(err, want) || err == nil && w.Bytes != 7 {
			t.Errorf("fetch %d: got %+v, %v, want %v", i, w, err, want)
		}
		if wait := weightclient.RetryAfter(err); errors.Is(err, weightclient.ErrLimited) && (wait < 9000 || wait > 11000) {
			t.Errorf("fetch %d: got retry after %d ms, want about 10 s", i, wait)
		} else {
			manual.Advance(wait)
		}
	}
	if got := [2]int{e.Fetched("m@1"), e.Limited()}; got != [2]int{3, 2} {
		t.Errorf("fetched and limited: got %v, want [3 2]", got)
	}
	if _, err := fetch(t.Context(), "m@9"); !errors.Is(err, weightclient.ErrNotFound) {
		t.Errorf("unknown version: got %v, want ErrNotFound", err)
	}
	srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"score":1.5}`) })
	if _, err := rate(t.Context(), ratingclient.Answer{}); !errors.Is(err, ratingclient.ErrInvalidScore) {
		t.Errorf("score 1.5: got %v, want ErrInvalidScore", err)
	}
}
