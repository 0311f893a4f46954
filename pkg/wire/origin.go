package wire

// StreamOrigin says what began a stream.
type StreamOrigin struct {
	// Key identifies the stream: a hash of the client account and the ID of the caller's attempt that
	// brought its first event.
	Key uint64
	// Service is the service whose backend server sent the first event, Version the version of that
	// server's software. Unknown says that the version cannot be told.
	Service NameHash
	Version string
	Unknown bool
	// LeftMillis is how long its caller may still take the stream up.
	LeftMillis int64
}

// StreamOrigins tells a router of streams that began at the sender, so that the router can say what began
// them when the sender is lost.
type StreamOrigins struct{ Streams []StreamOrigin }

// OriginQuery asks a router what began a stream.
type OriginQuery struct {
	// Seq is echoed in the reply.
	Seq uint64
	Key uint64
	// Services are those whose backend servers may have begun it.
	Services []NameHash
}

// VerifyRequest asks a router to verify its platform revision. The reply is what the sender lacks, and a RouterState
// with a verification that began after the request came.
type VerifyRequest struct {
	Stamp Stamp
	// Epoch and After are the revision up to which the sender knows everything.
	Epoch, After uint64
}

// OriginReply answers an OriginQuery.
type OriginReply struct {
	Seq uint64
	// Known says that the sender remembers the stream. Origin is valid only then.
	Known  bool
	Origin StreamOrigin
	// Mixed says that backend servers of one of the services run several software versions, or did
	// recently, as far as the sender knows.
	Mixed bool
	// MemoryMillis is for how long the sender has known all versions that were listed, up to the revision of the
	// OriginBasis before it.
	MemoryMillis int64
}

// OriginBasis precedes an OriginReply and says what that goes by. It is a message of its own, since routers of earlier
// builds decode replies of a fixed length.
type OriginBasis struct {
	Seq uint64
	// UpMillis is the time since the start of the sender.
	UpMillis int64
	// Epoch and AsOf are the revision that the sender knows.
	Epoch, AsOf uint64
}
