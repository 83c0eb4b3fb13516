package rlbcaller

import (
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
)

// readers keeps the buffers of ended streams.
var readers = sync.Pool{New: func() any { return rlbrelay.NewEventReader(nil) }}
