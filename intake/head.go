package intake

import "bytes"

// head follows the head of a request through the pieces in which it arrives.
type head struct {
	size  int // bytes so far; of the head alone once it has ended
	lines int
	ended bool
	begun bool // a byte other than those of empty lines before the request has arrived
	line  int  // bytes of the line that is arriving
	cr    bool // the last of them is a carriage return
}

// add takes the next piece. It may have bytes after the end of the head.
func (h *head) add(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.addToLine(p)
			return
		}
		h.addToLine(p[:i])
		h.size++
		h.lines++
		empty := h.line == 0 || h.line == 1 && h.cr
		h.ended = empty && h.begun
		h.begun = h.begun || !empty
		h.line, h.cr = 0, false
		p = p[i+1:]
	}
}

// addToLine adds a piece of a line, without its newline.
func (h *head) addToLine(p []byte) {
	if len(p) > 0 {
		h.size += len(p)
		h.line += len(p)
		h.cr = p[len(p)-1] == '\r'
	}
}
