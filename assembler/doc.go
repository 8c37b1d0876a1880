// Package assembler builds one instance from its settings: it connects the
// parts, runs their systems on a tick, and starts and stops them in order.
package assembler
