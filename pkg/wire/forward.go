package wire

// Forward hands a caller's connection on to a router that has more time. What follows on
// the connection, either way, is ForwardData.
type Forward struct {
	// Stream is unique at the sender.
	Stream uint64
	// Edition and Revision are those of the table by which the sender looked at the request.
	Edition, Revision uint64
	// Data is what the caller sent first: the head of a request, and as much of its body
	// as came with it.
	Data []byte
}

// ForwardData is what was read from a connection that was handed on.
type ForwardData struct {
	Stream uint64
	// Answer says that it goes back to the caller, by the router that took the
	// connection from it; Stream is that router's.
	Answer bool
	// Number counts the messages of a stream and direction from 1, so that one that was
	// lost with a connection between routers is noticed.
	Number uint64
	Data   []byte
	// End says that nothing follows.
	End bool
	// Taken says that so many pieces of the answer have reached the caller, and nothing
	// else; 0 says nothing of that.
	Taken uint64
	// Refused says that the receiver did not look at the request and never will.
	Refused bool
}
