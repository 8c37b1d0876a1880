package biller

// MarkAllDue makes all held bills due, including those held as a backup. A process
// that shuts down calls it before it flushes, because it may be the only instance
// that still holds a bill.
func (b *Biller) MarkAllDue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.held {
		h.due = true
	}
}
