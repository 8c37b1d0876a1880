// Package dispatcher answers requests: it finds the route and the workspace,
// chooses endpoint, version and model, sends, repeats what may be repeated and
// passes answers on. A request is sent on only while the configuration that
// allows it is confirmed recently enough, and a refusal that says "not run" is
// given only if no endpoint may have run it.
package dispatcher
