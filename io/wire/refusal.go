package wire

// UnmarshalText takes a refusal that is not known for RefusalOther: its word that
// nothing ran counts all the same, but its text goes into answers, logs and
// counters, and a server may write anything there, at any length.
func (rf *Refusal) UnmarshalText(text []byte) error {
	switch known := Refusal(text); known {
	case "", RefusalShed, RefusalDraining, RefusalSnapshotGone, RefusalCold, RefusalExpired, RefusalNotHeld:
		*rf = known
	default:
		*rf = RefusalOther
	}
	return nil
}
