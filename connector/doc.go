// Package connector opens connections to model engines and notices when an
// engine's process may have ended: its peers' side closes the last connection,
// or a new connection follows within moments of a close. A load report of that
// engine may then still name the former process.
package connector
