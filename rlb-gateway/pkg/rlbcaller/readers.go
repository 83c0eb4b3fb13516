package rlbcaller

import (
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
)

// readers is a pool of event readers, so that streams reuse their buffers.
var readers = sync.Pool{New: func() any { return rlbrelay.NewEventReader(nil) }}
