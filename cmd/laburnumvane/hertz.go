package main

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// silenceHertz turns off the log of the HTTP library, whose lines are not JSON. It sets the level once,
// because servers that are running read it without a lock.
var silenceHertz = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) }) //nolint:gochecknoglobals // set once
