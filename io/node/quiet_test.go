package node_test

// Servers die on purpose here.
import _ "laburnumvane/internal/quiet"
