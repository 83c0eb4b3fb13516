package rlbintake

import "bytes"

// headScanner finds the end of the heads of requests in what a client sends.
type headScanner struct {
	lines   int  // of the head so far
	bytes   int  // of the head so far
	partial int  // bytes of its last, incomplete line
	blank   bool // that line is a carriage return so far
}

// scan reads a part of a head. It returns how many bytes belong to the head, how many lines
// it has ended, and whether the head is complete. The scanner then begins the next head.
func (s *headScanner) scan(data []byte) (length, lines int, complete bool) {
	for length < len(data) {
		end := bytes.IndexByte(data[length:], '\n')
		if end < 0 {
			s.blank = data[length] == '\r' && s.partial == 0 && len(data)-length == 1
			s.partial += len(data) - length
			s.bytes += len(data) - length
			return len(data), lines, false
		}
		empty := s.partial+end == 0 || s.partial == 0 && end == 1 && data[length] == '\r' || s.partial == 1 && s.blank && end == 0
		length += end + 1
		lines++
		s.lines++
		s.bytes += end + 1
		s.partial, s.blank = 0, false
		if empty {
			*s = headScanner{}
			return length, lines, true
		}
	}
	return length, lines, false
}

// restart begins a head of which some bytes were read already.
func (s *headScanner) restart(read []byte) {
	rest := read[bytes.LastIndexByte(read, '\n')+1:]
	*s = headScanner{lines: bytes.Count(read, []byte{'\n'}), bytes: len(read), partial: len(rest), blank: string(rest) == "\r"}
}
