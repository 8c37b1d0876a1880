package launcher

import (
	"encoding/json"
	"log"
	"net/http"
	"slices"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/platform"
)

const (
	// directoryTTLSeconds is the longest time for which a client may cache a
	// response. A short time moves clients away from a stopped instance.
	directoryTTLSeconds = 2.0
	// minLocalInstances is the least number of usable instances in the client's
	// data centre for which a response omits those of other data centres. With a
	// single address, a client would have no alternative when that instance fails.
	minLocalInstances = 2
	// maxDirectoryAddresses is the largest number of addresses in a response.
	maxDirectoryAddresses = 64
	// maxReadyAge limits the age of the store confirmation of an instance that
	// counts as ready.
	maxReadyAge = 3 * clock.Second
)

// ready reports whether this instance can serve clients: it is not stopping, it
// has a configuration and a list of endpoints, and its confirmation of the store
// is recent.
func (l *Launcher) ready() bool {
	return !l.stopping.Load() && l.table.Load() != nil && l.endpointsListed.Load() &&
		l.clock.Now()-l.watcher.Confirmed() < maxReadyAge
}

// peerReady reports whether another instance can serve a client that this one
// refuses.
func (l *Launcher) peerReady() bool {
	for _, m := range l.heartbeater.Members() {
		if m.Ready && m.Name != l.settings.Instance {
			return true
		}
	}
	return false
}

// readyCount returns the number of ready instances, at least 1.
func (l *Launcher) readyCount() int {
	n := 0
	for _, m := range l.heartbeater.Members() {
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

// serveDirectory responds with the addresses of instances that the client may
// use.
func (l *Launcher) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := addressesFor(r.URL.Query().Get(platform.ZoneQuery), l.heartbeater.Members())
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(platform.DirectoryResponse{
		Addresses: addresses, TTL: min(directoryTTLSeconds, l.bounds.Load().MaxTTLS),
	})
	if err != nil {
		l.logger.Log("directory_failed", logger.Text("error", err.Error()))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails if the client has disconnected
}

// addressesFor returns the client addresses of the ready instances in a data
// centre, and of those in others if it has fewer than minLocalInstances. If no
// instance is ready anywhere, as in an outage of the store, it returns those of
// all instances that are not about to stop: with an empty response, clients would
// continue to use instances that have stopped.
func addressesFor(dataCentre string, members []heartbeater.Member) []string {
	usable := func(m heartbeater.Member) bool { return m.Ready }
	if !slices.ContainsFunc(members, usable) {
		usable = func(m heartbeater.Member) bool { return !m.Leaving }
	}
	var local, remote []string
	for _, m := range members {
		switch {
		case !usable(m):
		case m.DataCentre == dataCentre:
			local = append(local, m.FrontendAddress)
		default:
			remote = append(remote, m.FrontendAddress)
		}
	}
	if len(local) < minLocalInstances {
		local = append(local, remote...)
	}
	return local[:min(len(local), maxDirectoryAddresses)]
}

func (l *Launcher) metricsHandler() http.Handler {
	h := l.meter.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := l.clock.Now()
		l.meter.SetGauge("configuration_age_seconds", (now - l.watcher.Confirmed()).Duration().Seconds())
		l.meter.SetGauge("endpoints_changed_seconds_ago", (now - clock.Millis(l.endpointsAt.Load())).Duration().Seconds())
		l.meter.SetGauge("endpoints", float64(l.catalog.Snapshot(now).Len()))
		l.meter.SetGauge("endpoints_limited", float64(l.capper.Limited()))
		l.meter.SetGauge("members_alive", float64(len(l.heartbeater.Members())))
		l.meter.SetGauge("requests_active", float64(l.dispatcher.Active()))
		l.meter.SetGauge("log_lines_left_out", float64(l.logger.Dropped()))
		l.meter.SetGauge("slow_caller_bytes", float64(l.spooler.Held()))
		h.ServeHTTP(w, r)
	})
}

// serverLog returns a logger that writes the errors of net/http servers as log
// lines.
func (l *Launcher) serverLog() *log.Logger {
	return log.New(lineWriter(func(line string) {
		l.logger.Log("http_server", logger.Text("message", line))
	}), "", 0)
}

// lineWriter calls the function with each write as one line.
type lineWriter func(line string)

// Write implements io.Writer.
func (f lineWriter) Write(b []byte) (int, error) {
	f(strings.TrimSpace(string(b)))
	return len(b), nil
}
