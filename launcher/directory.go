package launcher

import (
	"encoding/json"
	"log"
	"net/http"
	"slices"
	"strings"

	"rosemaryarch.example/rosemaryarch/beater"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/recorder"
)

const (
	// directoryTTL is how long a caller may keep an answer. A short time moves
	// callers away from an instance that is gone.
	directoryTTL = 2.0
	// enoughInstances is the number of instances of the caller's data centre
	// that make others needless: with one alone, a caller has nowhere to go
	// when it fails.
	enoughInstances = 2
	// maxAddresses is the largest answer.
	maxAddresses = 64
	// readyAge is the age of the confirmation up to which the instance counts
	// as ready.
	readyAge = 3 * clock.Second
)

// ready reports whether the instance can serve callers.
func (l *Launcher) ready() bool {
	return !l.stopping.Load() && l.table.Load() != nil && l.listed.Load() &&
		l.clock.Now()-l.watcher.Confirmed() < readyAge
}

// othersReady reports whether a caller that is refused here may be served by
// another instance.
func (l *Launcher) othersReady() bool {
	for _, m := range l.beater.Members() {
		if m.Ready && m.Name != l.settings.Instance {
			return true
		}
	}
	return false
}

// readyCount returns the number of instances that serve callers.
func (l *Launcher) readyCount() int {
	n := 0
	for _, m := range l.beater.Members() {
		if m.Ready {
			n++
		}
	}
	return max(1, n)
}

func (l *Launcher) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !l.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory names the instances that a caller may use.
func (l *Launcher) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := instancesFor(r.URL.Query().Get(platform.ZoneQuery), l.beater.Members())
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(platform.DirectoryAnswer{
		Addresses: addresses, TTL: min(directoryTTL, l.bounds.Load().MaxTTLS),
	})
	if err != nil {
		l.recorder.Line("directory_failed", recorder.Text("error", err.Error()))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the caller may have left
}

// instancesFor returns the addresses of the instances of a data centre, and of
// others if it has too few that are ready. While none is ready anywhere, as in
// an outage of the store, it names all that run: a caller that learns of no
// instance would go on to use those that have stopped.
func instancesFor(dataCentre string, members []beater.Member) []string {
	usable := func(m beater.Member) bool { return m.Ready }
	if !slices.ContainsFunc(members, usable) {
		usable = func(m beater.Member) bool { return !m.Leaving }
	}
	var near, far []string
	for _, m := range members {
		switch {
		case !usable(m):
		case m.DataCentre == dataCentre:
			near = append(near, m.Front)
		default:
			far = append(far, m.Front)
		}
	}
	if len(near) < enoughInstances {
		near = append(near, far...)
	}
	return near[:min(len(near), maxAddresses)]
}

func (l *Launcher) metricsHandler() http.Handler {
	h := l.meter.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := l.clock.Now()
		l.meter.Set("configuration_age_seconds", (now - l.watcher.Confirmed()).Duration().Seconds())
		l.meter.Set("endpoints_changed_seconds_ago", (now - clock.Millis(l.endpointsAt.Load())).Duration().Seconds())
		l.meter.Set("endpoints", float64(l.catalog.Snapshot().Len()))
		l.meter.Set("members_alive", float64(len(l.beater.Members())))
		l.meter.Set("requests_active", float64(l.dispatcher.Active()))
		l.meter.Set("log_lines_left_out", float64(l.recorder.Dropped()))
		h.ServeHTTP(w, r)
	})
}

// serverLog writes what net/http reports as log lines.
func (l *Launcher) serverLog() *log.Logger {
	return log.New(lineWriter(func(line string) {
		l.recorder.Line("http_server", recorder.Text("message", line))
	}), "", 0)
}

// lineWriter passes each write on as one line.
type lineWriter func(line string)

// Write implements io.Writer.
func (f lineWriter) Write(b []byte) (int, error) {
	f(strings.TrimSpace(string(b)))
	return len(b), nil
}
