package node_test

// The tests of this package kill servers deliberately.
import _ "laburnumvane/internal/quiet"
