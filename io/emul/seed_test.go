package emul

// Property tests use a fixed seed, so that their result is reproducible.
import _ "laburnumvane/internal/seed"
