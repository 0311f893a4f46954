package forward

// Reason says why a stream ended before its response was complete, as written in logs. It is empty for
// one that completed.
type Reason string

// The reasons.
const (
	// CallerClosed: the caller closed its connection.
	CallerClosed Reason = "caller-closed"
	// CallerStuck: the caller could not be written to.
	CallerStuck Reason = "caller-stuck"
	// DeadlinePassed: the request's deadline passed.
	DeadlinePassed Reason = "deadline"
	// PeerRefused: the other router had no capacity.
	PeerRefused Reason = "refused"
	// ConnectionLost: messages to or from the other router may have been lost.
	ConnectionLost Reason = "connection-lost"
	// PeerSilent: the other router has not been heard from for too long.
	PeerSilent Reason = "router-silent"
	// PeerRestarted: the other router runs a new process.
	PeerRestarted Reason = "router-restarted"
	// QueueFull: more messages waited than the window allows.
	QueueFull Reason = "queue-full"
	// OutOfOrder: a message was missing.
	OutOfOrder Reason = "out-of-order"
	// PeerAborted: the other router ended the response early, or without any of it.
	PeerAborted Reason = "router-aborted"
	// Stopped: this router stops.
	Stopped Reason = "stopped"
)

// mayPrecedeResponse reports whether messages that the other router sent before may arrive later.
func (r Reason) mayPrecedeResponse() bool { return r == ConnectionLost || r == PeerRestarted }

// notifiesPeer reports whether the router that forwarded a stream is told that it ended. It knows the other
// reasons itself.
func (r Reason) notifiesPeer() bool { return r != "" && r != CallerClosed }
