package view_test

// A fixed seed makes the property tests reproducible.
import _ "laburnumvane/internal/seed"
