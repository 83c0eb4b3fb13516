package rlbdispatch

// Framing is how an answer marks the end of its body.
type Framing string

// The framings. Only the end of the connection can be mistaken for that of the body.
const (
	FramingLength     Framing = "length"
	FramingChunks     Framing = "chunks"
	FramingConnection Framing = "connection" // the body ends with the connection
)

// Framing returns how the answer marks the end of its body.
func (in *Incoming) Framing() Framing {
	switch {
	case len(in.TransferEncoding) > 0:
		return FramingChunks
	case in.ContentLength >= 0:
		return FramingLength
	default:
		return FramingConnection
	}
}
