package biller

// MarkAllDue makes all bills due, including those held as a backup. A process that
// shuts down calls it to commit them itself, since no other instance would.
func (b *Biller) MarkAllDue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.held {
		h.due = true
	}
}
