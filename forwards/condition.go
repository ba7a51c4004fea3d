package forwards

import "errors"

// errUnmetCondition is returned when a backend server does not meet a condition that the
// caller set. The request has not run, and the backend server is not at fault.
var errUnmetCondition = errors.New("the backend server does not meet a condition of the caller")

// refuseWrongServer returns the error of an answer with WrongServer. A backend server that
// has left its address is marked as gone.
func (req *proxyRequest) refuseWrongServer(a *attempt) error {
	if req.meta.Conditional && !req.isReplaced(a) {
		return errUnmetCondition
	}
	req.forwarder.cfg.Fleet.MarkGone(a.server)
	return errServerUnavailable
}

// isReplaced reports whether the server at fault is another one at the address of the
// intended server. An engine at another address takes part in the request.
func (req *proxyRequest) isReplaced(a *attempt) bool {
	if a.reply.Blamed == "" || a.reply.Blamed == a.server.ID {
		return false
	}
	blamed, known := req.forwarder.cfg.Fleet.Get(a.reply.Blamed)
	return !known || blamed.Address == a.server.Address
}
