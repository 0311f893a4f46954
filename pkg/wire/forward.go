package wire

// Forward forwards a caller's connection to a router that has more capacity. All further data
// of the connection, in both directions, is sent as ForwardData.
type Forward struct {
	// Stream is unique at the sender.
	Stream uint64
	// Edition and Revision identify the table that the sender used to route the request.
	Edition, Revision uint64
	// Data is what the sender has read from the caller: the request header and possibly part
	// of the body.
	Data []byte
}

// ForwardData carries data of a connection that was handed over with Forward.
type ForwardData struct {
	Stream uint64
	// Response reports that Data is for the caller. Stream is then that of the router that
	// accepted the caller's connection.
	Response bool
	// Seq counts the messages of a stream and direction from 1, so that the receiver detects
	// a message that was lost between routers.
	Seq  uint64
	Data []byte
	// Last marks the last message of its direction.
	Last bool
	// Acked is the number of messages of the response that have reached the caller. A message
	// with Acked above 0 carries nothing else.
	Acked uint64
	// Refused reports that the receiver has not handled the request and never will.
	Refused bool
}
