package meter

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Meter holds the metrics of one instance. All methods are safe for concurrent
// use.
type Meter struct {
	registry   *prometheus.Registry
	refusals   *prometheus.CounterVec
	noRoom     *prometheus.CounterVec
	retries    *prometheus.CounterVec
	drops      *prometheus.CounterVec
	requests   *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	latency    *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
	gauges     *prometheus.GaugeVec
	events     *prometheus.CounterVec
}

// firstTokenBuckets are the upper bounds of the buckets in seconds. The target for
// the 95th percentile is 0.57 s.
var firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.57, 0.8, 1.2, 2, 5, 10}

// latencyBuckets are the upper bounds of the buckets in seconds. They range from a
// call to a plain service to the longest stream.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.5, 3, 6, 12, 25}

// New returns a meter with its own registry. The counters of all refusal, retry
// and drop reasons exist from the start, so that a scrape also shows reasons that
// never occurred.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		refusals: counter("refusals_total", "Refused requests by reason.", "reason"),
		noRoom:   counter("no_room_refusals_total", "Requests refused for lack of room by priority rank.", "rank"),
		retries:  counter("retries_total", "Retries by reason.", "reason"),
		drops:    counter("dropped_responses_total", "Responses that did not reach a client by reason.", "reason"),
		requests: counter("requests_total", "Answered requests by service and workspace.", "service", "workspace"),
		tokens:   counter("tokens_total", "Tokens by direction and version.", "direction", "version"),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "rosemaryarch", Name: "first_token_seconds",
			Help: "Time to the first token by service.", Buckets: firstTokenBuckets,
		}, []string{"service"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "rosemaryarch", Name: "request_seconds",
			Help:    "Time to the end of an answer by service, kind of route and outcome.",
			Buckets: latencyBuckets,
		}, []string{"service", "kind", "outcome"}),
		storeCalls: counter("store_calls_total", "Calls to the object API by operation and outcome.", "operation", "outcome"),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "rosemaryarch", Name: "state", Help: "Present values by name.",
		}, []string{"name"}),
		events: counter("events_total", "Events that operators may want to see, by name.", "name"),
	}
	m.registry.MustRegister(
		m.refusals, m.noRoom, m.retries, m.drops, m.requests, m.tokens, m.firstToken, m.latency, m.storeCalls,
		m.gauges, m.events)
	for _, r := range refuser.Refusals() {
		m.refusals.WithLabelValues(string(r.Reason))
	}
	for _, r := range refuser.RetryReasons() {
		m.retries.WithLabelValues(string(r))
	}
	for _, r := range refuser.DropReasons() {
		m.drops.WithLabelValues(string(r))
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "rosemaryarch", Name: name, Help: help}, labels)
}

// CountRefusal counts a refused request.
func (m *Meter) CountRefusal(r refuser.Reason) { m.refusals.WithLabelValues(string(r)).Inc() }

// CountNoRoom counts a request of a priority rank that was refused for lack of room.
func (m *Meter) CountNoRoom(rank int) { m.noRoom.WithLabelValues(strconv.Itoa(rank)).Inc() }

// CountRetry counts a retry that the router made by itself.
func (m *Meter) CountRetry(r refuser.RetryReason) { m.retries.WithLabelValues(string(r)).Inc() }

// CountDrop counts a response of an endpoint, or bytes from it, that did not reach a
// client.
func (m *Meter) CountDrop(r refuser.DropReason) { m.drops.WithLabelValues(string(r)).Inc() }

// CountRequest counts a request that was answered.
func (m *Meter) CountRequest(service, workspace string) {
	m.requests.WithLabelValues(service, workspace).Inc()
}

// CountTokens adds the input and output tokens of a request to those of a
// version.
func (m *Meter) CountTokens(version string, in, out int) {
	m.tokens.WithLabelValues("in", version).Add(float64(in))
	m.tokens.WithLabelValues("out", version).Add(float64(out))
}

// ObserveFirstToken records the time from a request's arrival to the first token
// of its answer.
func (m *Meter) ObserveFirstToken(service string, d clock.Millis) {
	m.firstToken.WithLabelValues(service).Observe(d.Duration().Seconds())
}

// ObserveLatency records the time from a request's arrival to the end of its
// answer. The outcome is a status class, such as "2xx", or "cut" for a response
// that was not completed.
func (m *Meter) ObserveLatency(service, kind, outcome string, d clock.Millis) {
	m.latency.WithLabelValues(service, kind, outcome).Observe(d.Duration().Seconds())
}

// CountStoreCall counts a call to the store by its operation and its outcome, such
// as an HTTP status.
func (m *Meter) CountStoreCall(operation, outcome string) {
	m.storeCalls.WithLabelValues(operation, outcome).Inc()
}

// SetGauge sets a gauge, such as "revision" or "members_alive".
func (m *Meter) SetGauge(name string, value float64) { m.gauges.WithLabelValues(name).Set(value) }

// CountEvent counts an event by name, such as "session_moved_by_withdrawal".
func (m *Meter) CountEvent(name string) { m.events.WithLabelValues(name).Inc() }

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry, so that an embedding program can register
// metrics of its own.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }
