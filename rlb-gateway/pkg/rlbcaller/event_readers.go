package rlbcaller

import (
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbrelay"
)

// eventReaders is a pool of event readers, so that streams reuse their buffers.
var eventReaders = sync.Pool{New: func() any { return rlbrelay.NewEventReader(nil) }}
