package wire

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// Key names a backend server, an account or a service where routers tell each
// other of it often: a hash of the name, which is longer.
type Key uint32

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// ServerUse is what a router has under way at a backend server.
type ServerUse struct {
	Server Key
	// Running is how many requests have not ended.
	Running int
	// Unread is the tokens of prompts that are still to be read there.
	Unread int64
}

// AccountUse is what an account asks and gets at a router, in tokens a second.
type AccountUse struct {
	Account      Key
	Asked, Begun float32
}

// Copy says that a prompt's beginning was sent to a backend server that is not
// the first for it, so that it is read there too.
type Copy struct {
	Prefix uint64
	Server Key
}

// State is what a router has under way and how much it knows.
type State struct {
	// Stamp is the sender's clock when it sent this.
	Stamp Stamp
	// Echo is the last Stamp that the sender received from the receiver, 0 if
	// none.
	Echo Stamp
	// AsOf is the platform's revision up to which the sender knows all.
	AsOf uint64
	// Age is how long ago, in milliseconds, the sender knew that the platform
	// had nothing newer than AsOf; -1 if it never did.
	Age int64
	// Leaving says that the sender is about to stop.
	Leaving  bool
	Servers  []ServerUse
	Accounts []AccountUse
	// Copies are those made since the last State.
	Copies []Copy
}

// RosterEntry is a router as another one knows it.
type RosterEntry struct {
	// Address is where it listens for peers.
	Address string
	// Name and Zone are as in its settings.
	Name string
	Zone string
	// Inc is its start.
	Inc uint64
	// Heard is how many milliseconds ago it was last heard of.
	Heard int64
}

// Roster lists the routers that the sender knows.
type Roster struct {
	Entries []RosterEntry
	// Answer asks the receiver for its roster.
	Answer bool
}

// NewsAsk asks for what the platform published after a revision.
type NewsAsk struct{ After uint64 }

// News is what the platform published.
type News struct{ catalog.News }
