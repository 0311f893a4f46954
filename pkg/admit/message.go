package admit

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// Message is a message from another router.
type Message struct {
	From string
	Msg  any
}

func (e Message) apply(c *Core) {
	delete(c.unresponsiveSince, e.From)
	c.receive(e.From, e.Msg)
}

func (c *Core) receive(from string, msg any) {
	switch m := msg.(type) {
	case *wire.SlotContext:
		c.slotContexts[from] = m
	case *wire.SlotRequest:
		c.handleSlotRequest(from, m)
	case *wire.SlotReply:
		c.handleSlotReply(from, m)
	case *wire.RequestUpdate:
		c.handleRequestUpdate(from, m)
	case *wire.SlotMargin:
		c.handleSlotMargin(m)
	case *wire.EngineStates:
		c.handleEngineStates(m)
	case *wire.ReturnOffer:
		c.handleReturnOffer(m)
	case *wire.ReturnPromise:
		c.handleReturnPromise(m)
	case *wire.StreamPauses:
		c.handleStreamPauses(from, m)
	case *wire.RequestSync:
		c.reconcileInFlight(from, m)
	case *wire.Leaving:
		c.handleLeaving(from, m)
	case *wire.SuspectUpdate:
		c.handleSuspects(from, m)
	case *wire.PartCrashes:
		c.applyCrashes(from, m.Crashes, true)
	}
}
