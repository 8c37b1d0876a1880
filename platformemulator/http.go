package platformemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/ratingclient"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/weightclient"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 4 << 20

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// refuse responds that the request was not executed.
func refuse(w http.ResponseWriter, status int, reason string, retryAfter clock.Millis) {
	exchanger.WriteRefusal(w, exchanger.StatusError{
		Status: status, Reason: reason, Execution: refuser.NotExecuted, RetryAfter: retryAfter,
	})
}

// cut closes the connection without a response.
func cut() { panic(http.ErrAbortHandler) }

func (e *Emulator) serveRate(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var a ratingclient.Answer
	if err != nil || json.Unmarshal(body, &a) != nil {
		refuse(w, http.StatusBadRequest, "invalid_body", 0)
		return
	}
	if f.RatingDelay > 0 && e.o.Sleep(r.Context(), f.RatingDelay) != nil {
		cut()
	}
	if f.RatingDown {
		refuse(w, http.StatusServiceUnavailable, "down", 0)
		return
	}
	e.mu.Lock()
	e.rated++
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]float64{"score": e.o.Score(a)})
}

func (e *Emulator) serveWeights(w http.ResponseWriter, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	size, ok := e.o.Weights[version]
	switch {
	case e.faults.WeightsDown:
		refuse(w, http.StatusServiceUnavailable, "down", 0)
		return
	case !ok:
		refuse(w, http.StatusNotFound, "unknown_version", 0)
		return
	}
	now := time.UnixMilli(int64(e.o.Now()))
	reservation := e.weightLimiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		e.limited++
		refuse(w, http.StatusTooManyRequests, "limited", clock.FromDuration(wait)+1)
		return
	}
	e.fetched[version]++
	digest := strconv.FormatUint(xxhash.Sum64String(version), 16)
	writeJSON(w, http.StatusOK, weightclient.Weights{Version: version, Bytes: size, Digest: digest})
}

func (e *Emulator) serveMembers(w http.ResponseWriter) {
	if e.Faults().ListDown {
		refuse(w, http.StatusServiceUnavailable, "down", 0)
		return
	}
	writeJSON(w, http.StatusOK, e.members())
}
