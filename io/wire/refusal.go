package wire

// UnmarshalText decodes an unknown refusal as RefusalOther. It still guarantees that nothing ran,
// but a server may send any text of any length, which must not get into answers, logs and metrics.
func (rf *Refusal) UnmarshalText(text []byte) error {
	switch known := Refusal(text); known {
	case "", RefusalShed, RefusalDraining, RefusalSnapshotGone, RefusalCold, RefusalExpired, RefusalNotHeld:
		*rf = known
	default:
		*rf = RefusalOther
	}
	return nil
}
