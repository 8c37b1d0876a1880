package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/hoster"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// testFleet is a set of instances with emulators of the outside systems, in one
// process.
type testFleet struct {
	t         *testing.T
	hoster    *hoster.Hoster
	fleet     *parser.Fleet
	instances []*Instance
	text      string
}

// waitTimeout bounds how long a test waits for a condition; the test fails then.
const waitTimeout = 30 * time.Second

func newTestFleet(t *testing.T, instances int, change func(n int, s *loader.Settings)) *testFleet {
	t.Helper()
	text, err := os.ReadFile("../examples/kyushu.yaml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := parser.Parse("kyushu.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	h, err := hoster.New(hoster.Options{
		Fleet: f, ModelEngines: 12, PlainEndpoints: 2, Instances: instances, Dir: t.TempDir(),
		EngineOptions: engineemulator.Options{Seed: 1, TokenTime: func(int) clock.Millis { return 1 }},
	})
	if err != nil {
		t.Fatal(err)
	}
	x := &testFleet{t: t, hoster: h, fleet: f, text: string(text)}
	t.Cleanup(x.close)
	permits := permitter.DefaultOptions()
	permits.MaxRequestTime = clock.Minute
	for n, s := range h.Settings() {
		if change != nil {
			change(n, &s)
		}
		parsed, err := s.Validated()
		if err != nil {
			t.Fatal(err)
		}
		i, err := New(parsed, Options{Permits: permits})
		if err != nil {
			t.Fatal(err)
		}
		if err := i.Start(); err != nil {
			t.Fatal(err)
		}
		x.instances = append(x.instances, i)
	}
	return x
}

func (x *testFleet) close() {
	for _, i := range x.instances {
		i.Kill()
	}
	x.hoster.Close()
}

func (x *testFleet) admin(i int) administrator.Administrator {
	a, err := administrator.NewHTTP("http://"+x.instances[i].settings.Listen, hoster.OperatorKey, http.DefaultClient)
	if err != nil {
		x.t.Fatal(err)
	}
	return a
}

// eventually waits until the condition holds.
func (x *testFleet) eventually(what string, holds func() bool) {
	x.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	x.t.Fatalf("%s did not happen", what)
}

// configure applies the first configuration and waits until all instances are
// ready.
func (x *testFleet) configure() {
	x.t.Helper()
	x.eventually("the first configuration", func() bool {
		_, err := x.admin(0).Apply(context.Background(), administrator.ApplyCall{Text: x.text, ChangeID: "first"})
		return err == nil
	})
	x.eventually("readiness of all instances", func() bool {
		for _, i := range x.instances {
			if i.checkReady() != nil || len(i.entries().Entries) != len(x.instances) {
				return false
			}
		}
		return true
	})
}

type answer struct {
	status int
	header http.Header
	body   string
}

func (x *testFleet) post(i int, path, key, body string, header map[string]string) answer {
	x.t.Helper()
	return x.send(http.MethodPost, i, path, key, body, header)
}

func (x *testFleet) send(method string, i int, path, key, body string, header map[string]string) answer {
	x.t.Helper()
	target := "http://" + x.instances[i].settings.Listen + path
	req, err := http.NewRequest(method, target, bytes.NewBufferString(body))
	if err != nil {
		x.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		x.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		x.t.Fatal(err)
	}
	return answer{resp.StatusCode, resp.Header, string(data)}
}

func chatBody(model, text string, stream bool) string {
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": text}},
	})
	return string(b)
}

// TestEndToEnd guards against a fault on the way between caller and endpoint. It
// covers a streamed and a plain answer, a booking that is repeated through another
// instance, the look-up of the booking, and a graceful shutdown.
func TestEndToEnd(t *testing.T) {
	x := newTestFleet(t, 3, nil)
	x.configure()
	const key = "demo-key-booking-desk"
	a := x.post(0, "/v1/chat/completions", key, chatBody("answers", "is my window fogged?", true), nil)
	if a.status != http.StatusOK || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Fatalf("streamed answer: got status %d, body %q, want a stream with an end marker", a.status, a.body)
	}
	a = x.post(1, "/v1/chat/completions", key, chatBody("answers:small", "hello", false), nil)
	var c struct {
		Model   string
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(a.body), &c); err != nil || len(c.Choices) != 1 {
		t.Fatalf("answer: status %d, body %q, %v", a.status, a.body, err)
	}
	want := engineemulator.Answer(c.Model, "user: hello\n", len(strings.Fields(c.Choices[0].Message.Content)))
	if got := c.Choices[0].Message.Content; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	header := map[string]string{"Idempotency-Key": "visit-1", "Content-Type": "application/json"}
	first := x.post(0, "/v1/services/bookings/bookings", key, `{"house":1}`, header)
	second := x.post(2, "/v1/services/bookings/bookings", key, `{"house":1}`, header)
	repeated := second.header.Get("X-Answer-Repeated") == "true"
	if first.status != http.StatusCreated || second.body != first.body || !repeated {
		t.Errorf("bookings: got %+v and %+v, want the same answer, marked as repeated", first, second)
	}
	if got := x.hoster.Platform.RunCount("bookings", "booking-desk.visit-1"); got != 1 {
		t.Errorf("runs of the booking: got %d, want 1", got)
	}
	for lookUp, want := range map[string]int{
		"demo-key-booking-desk visit-1":                 http.StatusOK,
		"demo-key-fukuoka-fitters visit-1":              http.StatusNotFound,
		"demo-key-fukuoka-fitters booking-desk.visit-1": http.StatusNotFound,
		"demo-key-fukuoka-fitters %2e%2e/bookings/../x": http.StatusNotFound,
	} {
		key, name, _ := strings.Cut(lookUp, " ")
		if got := x.send(http.MethodGet, 1, "/v1/services/bookings/bookings/"+name, key, "", nil); got.status != want {
			t.Errorf("look-up %q: got %+v, want status %d", lookUp, got, want)
		}
	}
	if err := x.instances[2].Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}
