// Package server implements the HTTP interface of one instance: chat completions,
// calls of plain services, the list of entry addresses, the operators' calls,
// metrics, and the health and readiness checks. It authenticates callers,
// validates and decodes their requests, and encodes answers and refusals. The
// requests themselves are executed by functions that the instance provides.
package server
