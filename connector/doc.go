// Package connector opens connections to model engines and detects that an
// engine's process may have ended: the engine closes its last connection, or a
// new connection is opened shortly after the engine closed another one. A load
// report received from that engine before may then describe the previous process.
package connector
