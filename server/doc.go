// Package server is the HTTP interface of one instance: chat completions, plain
// services, entry addresses, operators' calls, metrics and health.
package server
