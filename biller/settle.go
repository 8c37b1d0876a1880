package biller

// Settle makes all bills due, those held as a backup included. An instance that
// leaves commits them itself, since nobody would take them over.
func (b *Biller) Settle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.held {
		h.due = true
	}
}
