// Package exchanger makes single HTTP requests and classifies their failures: the
// request was not sent, its outcome is unknown, or the other side refused it
// without executing it. The clients of all external systems share its errors.
package exchanger
