package site_test

// The tests crash servers on purpose.
import _ "laburnumvane/internal/quiet"
