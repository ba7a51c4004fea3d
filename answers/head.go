package answers

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a response whose head is not valid in HTTP/1.1. Neither its
// status nor the length of its body can be trusted.
var ErrMalformed = errors.New("the head of the response is malformed")

// headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	partVersion headPart = iota
	partStatus
	partReason
	partLineStart
	partFieldName
	partFieldValue
	partBlankLine // its line feed
	partBody      // nothing more is checked
)

const statusDigits = 3

// headChecker checks the heads of the responses on one connection as their bytes arrive:
// those of interim responses and that of the answer. It detects what http.ReadResponse
// accepts: a status below 100, and a blank within, before or after the name of a field,
// which hides the length of the body. A folded line cannot be told from such a name.
type headChecker struct {
	part   headPart
	digits int // of the status
	status int
	err    error
}

// check checks the next bytes of the connection. After an error it fails for good.
func (h *headChecker) check(data []byte) error {
	for i := 0; i < len(data) && h.err == nil && h.part != partBody; i++ {
		h.err = h.next(data[i])
	}
	return h.err
}

func (h *headChecker) next(b byte) error {
	switch h.part {
	case partVersion:
		if b == ' ' {
			h.part = partStatus
		}
	case partStatus:
		return h.nextOfStatus(b)
	case partReason, partFieldValue:
		if b == '\n' {
			h.part = partLineStart
		}
	case partLineStart:
		return h.startLine(b)
	case partFieldName:
		return h.nextOfName(b)
	case partBlankLine:
		if b != '\n' {
			return fmt.Errorf("%w: a line begins with a carriage return", ErrMalformed)
		}
		h.endHead()
	}
	return nil
}

// nextOfStatus reads a digit of the status. Blanks before it are skipped, as by net/http.
func (h *headChecker) nextOfStatus(b byte) error {
	switch {
	case b == ' ' && h.digits == 0:
		return nil
	case b < '0' || b > '9':
		return fmt.Errorf("%w: the status has %q in place of a digit", ErrMalformed, b)
	}
	h.status = 10*h.status + int(b-'0')
	if h.digits++; h.digits < statusDigits {
		return nil
	}
	if h.status < http.StatusContinue {
		return fmt.Errorf("%w: status %03d", ErrMalformed, h.status)
	}
	h.part = partReason
	return nil
}

func (h *headChecker) startLine(b byte) error {
	switch b {
	case '\r':
		h.part = partBlankLine
		return nil
	case '\n':
		h.endHead()
		return nil
	case ':':
		return fmt.Errorf("%w: a field has no name", ErrMalformed)
	case ' ', '\t':
		return fmt.Errorf("%w: a line begins with the byte %q", ErrMalformed, b)
	}
	h.part = partFieldName
	return h.nextOfName(b)
}

func (h *headChecker) nextOfName(b byte) error {
	switch {
	case b == ':':
		h.part = partFieldValue
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: the name of a field has the byte %q", ErrMalformed, b)
	}
	return nil
}

// endHead expects the next head after that of an interim response, and the body otherwise.
func (h *headChecker) endHead() {
	if h.status/100 == 1 && h.status != http.StatusSwitchingProtocols {
		*h = headChecker{}
		return
	}
	h.part = partBody
}
