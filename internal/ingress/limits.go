package ingress

// Shares of the machine that unknown clients may take.
const (
	// connectionBytes is the memory of one connection: buffers of 8 KiB, a header of at most
	// MaxHeaderBytes and its decoded form, and two stacks.
	connectionBytes = 64 << 10
	// MaxHeaderBytes bounds the request line and the headers; headers of callers have less than 1 KiB.
	MaxHeaderBytes = 16 << 10
	// minBodies admits one body of 262,144 bytes with its decoded form.
	minBodies = 4 << 20
	// minPeers admits one message of the largest size, and what has arrived of the next ones.
	minPeers = 8 << 20
	// defaultMemory and defaultDescriptors apply if the settings do not name the machine's.
	defaultMemory      = 184 << 20
	defaultDescriptors = 1024
	// maxProbes bounds the connections of each listener for probes and metrics.
	maxProbes = 32
)

// Limits are the bounds of one process.
type Limits struct {
	// Callers, Peers and Probes bound the connections of the listener for callers, of the one for
	// sessions between processes, and of each other listener. Of 128 descriptors or
	// more they leave a quarter to connections that the process itself opens.
	Callers, Peers, Probes int
	// Agents bounds, in place of Peers, the connections of a standalone entry's listener for agents. A fifth
	// of the descriptors is then left.
	Agents int
	// Bodies, Messages and Jobs bound the bytes of clients' requests at all HTTP listeners, of peers'
	// messages that are being received, and of the planner's jobs.
	Bodies, Messages, Jobs int64
	// Stored bounds the bytes that a stand-in of the platform stores.
	Stored int64
}

// Halve returns the limits with half of the connections, for one of two parts of a process. The bounds of
// bytes are not changed.
func (l Limits) Halve() Limits {
	l.Callers, l.Peers, l.Probes, l.Agents = l.Callers/2, l.Peers/2, l.Probes/2, l.Agents/2
	return l
}

// NewLimits returns the limits of a process with the given memory in bytes and number of descriptors;
// 0 means unknown.
func NewLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	perEighth := int(memory / 8 / connectionBytes)
	return Limits{
		Callers: max(min(descriptors/2, perEighth), 16),
		Peers:   max(min(descriptors/8, perEighth/2), 8),
		Probes:  max(min(descriptors/32, maxProbes), 8),
		Agents:  max(min(descriptors/4, perEighth), 8),
		Bodies:  max(memory/8, minBodies), Messages: max(memory/16, minPeers), Jobs: memory / 4, Stored: memory / 8,
	}
}
