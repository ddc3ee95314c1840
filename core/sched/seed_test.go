package sched_test

// Property tests use one seed, so that their verdict is the same every time.
import _ "laburnumvane/internal/seed"
