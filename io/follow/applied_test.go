package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/io/follow"
)

// An update arrives, and its processing takes a while. Until it ends, AppliedAge must not say that the
// copy is current: a VM would refuse a new key for good, or accept a removed one in strict mode.
func TestAppliedAgeIsThatOfProcessedUpdates(t *testing.T) {
	is := is.New(t)
	cfg := config("10.0.0.1:7000", &fullStore{update: mirror.Update{Full: true, AsOf: 9, Events: entries(9)}})
	processing, proceed := make(chan struct{}), make(chan struct{})
	cfg.OnChange = func(follow.Change) {
		close(processing)
		<-proceed
	}
	fo, end := start(t, cfg)
	defer end()
	is.Equal(fo.AppliedAge(), time.Hour)
	<-processing
	is.True(fo.Age() < time.Minute)
	is.Equal(fo.AppliedAge(), time.Hour)
	close(proceed)
	for fo.AppliedAge() > time.Minute {
		time.Sleep(time.Millisecond)
	}
}
