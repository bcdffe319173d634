// Package intake decides what the callers of a process may hold of its memory and
// descriptors, and whose connections are closed when that is too much. It is pure:
// the arithmetic goes from the limits of the machine to the bounds of each part, and
// a decision from a census of the connections to the ones to close.
package intake

// Limits are the limits of the process, as the settings state them.
type Limits struct {
	// Memory is in bytes; 0 means that the process has no limit of its own.
	Memory int64
	// Descriptors is the number of file descriptors; 0 means DefaultDescriptors.
	Descriptors int
}

const (
	// DefaultDescriptors is far more than the ordinary callers of one host open.
	DefaultDescriptors = 65_536
	// reservedDescriptors are for files. Sockets and pipes share the rest.
	reservedDescriptors = 200
	// minSockets leaves room for a few connections of each kind.
	minSockets = 32
)

// Shares of the sockets, in eighths. What is left is for other entry hosts, the store
// and operators.
const (
	callerEighths = 5
	serverEighths = 2
)

const (
	// minOwnMemory is what the process needs before it has a caller, and
	// 1/ownMemoryPart of the memory is left for what it knows, on larger machines.
	minOwnMemory  = 32 << 20
	ownMemoryPart = 4
	// programBytes is the resident part of the program itself, which the collector does
	// not count, and 1/socketPart of the memory is for bytes in sockets. The heap may
	// take the rest.
	programBytes = 16 << 20
	socketPart   = 4
	// minHeap keeps the collector from running all the time.
	minHeap = 8 << 20
	// Shares of the memory for callers, in eighths: connections that send ahead,
	// connections to backend servers with small socket buffers, streams with large ones,
	// and answers that are buffered. Together they are all of it, so that the bounds hold
	// before any decision.
	connectionEighths   = 4
	serverMemoryEighths = 2
	streamEighths       = 1
	heldEighths         = 1
	// ConnectionBytes is what a connection holds at least: its read buffer, the parsed
	// head and the stack of its goroutine. A connection that has sent nothing has no
	// read buffer in use, but may take one at any moment.
	ConnectionBytes = 48 << 10
	// serverBytes is what a connection to a backend server holds while it is in use: its
	// read buffer and the buffer of a body that is passed on.
	serverBytes = 64 << 10
	// SmallBuffer is the size of the socket buffers of streams beyond Bounds.Streams.
	SmallBuffer = 16 << 10
)

// Socket buffers are a part of the memory, within bounds. The smallest buffer for
// requests carries several megabytes a second over a link of 6 ms, and the smallest one
// for answers over a link of 20 ms.
const (
	receivePart, minReceive, maxReceive = 32_768, 16 << 10, 256 << 10
	answerPart, minAnswer, maxAnswer    = 1024, 32 << 10, 1 << 20
)

// Bounds are what the parts of the process may hold. Sizes of 0 mean no bound.
type Bounds struct {
	// Connections is the number of connections from callers, and ServerConnections
	// that of connections to backend servers.
	Connections       int
	ServerConnections int
	// Bytes bounds what all callers together hold, as Charge counts it.
	Bytes int64
	// HeldAnswers bounds the bytes of answers that are buffered completely. Further
	// answers are streamed.
	HeldAnswers int64
	// Streams is the number of streamed answers whose socket buffers have their full
	// size. Those of further ones have SmallBuffer.
	Streams int
	// ReceiveBuffer is the size of the socket buffer for requests, and AnswerBuffer
	// that of the two for answers, from the server and to the caller.
	ReceiveBuffer int
	AnswerBuffer  int
	// Heap is the size of the heap beyond which garbage is collected more often.
	Heap int64
	// Quiet is the number of connections that stay within Bytes whatever they do.
	Quiet int
}

// BoundsOf returns the bounds that follow from the limits of a process.
func BoundsOf(l Limits) Bounds {
	descriptors := l.Descriptors
	if descriptors == 0 {
		descriptors = DefaultDescriptors
	}
	sockets := max(minSockets, descriptors-reservedDescriptors)
	b := Bounds{
		Connections:       sockets * callerEighths / 8,
		ServerConnections: sockets * serverEighths / 8,
	}
	b.Quiet = b.Connections
	if l.Memory > 0 {
		b.setMemory(l.Memory)
	}
	return b
}

func (b *Bounds) setMemory(memory int64) {
	// A limit below minOwnMemory still leaves a part for callers, so that the process
	// can be asked at all.
	callers := max(memory/ownMemoryPart, memory-max(minOwnMemory, memory/ownMemoryPart))
	b.Bytes = callers
	b.HeldAnswers = callers * heldEighths / 8
	b.Heap = max(minHeap, memory-programBytes-memory/socketPart)
	b.ReceiveBuffer = int(min(max(memory/receivePart, minReceive), maxReceive))
	b.AnswerBuffer = int(min(max(memory/answerPart, minAnswer), maxAnswer))
	b.Connections = fitting(b.Connections, callers*connectionEighths/8, ConnectionBytes+kernelFactor*int64(b.ReceiveBuffer))
	b.ServerConnections = fitting(b.ServerConnections, callers*serverMemoryEighths/8, serverBytes+kernelFactor*SmallBuffer)
	b.Streams = fitting(b.ServerConnections, callers*streamEighths/8, kernelFactor*int64(b.AnswerBuffer))
	most := b.Charge(Use{SendsAhead: true, Ahead: true, Streaming: true, Stalled: true})
	b.Quiet = min(b.Connections, int(callers/most))
}

// ConnectionsWith returns the number of connections if each holds more bytes than an
// ordinary one, since the configuration allows larger heads.
func (b *Bounds) ConnectionsWith(extra int64) int {
	if b.Bytes == 0 || extra == 0 {
		return b.Connections
	}
	return fitting(b.Connections, b.Bytes*connectionEighths/8, ConnectionBytes+extra+kernelFactor*int64(b.ReceiveBuffer))
}

// QuietWith returns the number of connections that stay within Bytes whatever they do,
// if each holds more bytes than an ordinary one.
func (b *Bounds) QuietWith(extra int64) int {
	if b.Bytes == 0 || extra == 0 {
		return b.Quiet
	}
	most := b.Charge(Use{SendsAhead: true, Streaming: true, Stalled: true})
	return min(b.Quiet, int(b.Bytes/(most+extra)))
}

// fitting returns how many of number fit into a part of the memory, at least one.
func fitting(number int, part, each int64) int {
	return max(1, min(number, int(part/each)))
}

// AheadBytes is what a connection counts for whose requests run before their turn: the
// bytes that were read ahead, at most an eighth of it, and for up to 16 requests the
// parsed head, its copy for the backend server and the goroutine.
const AheadBytes = 64 << 10

// kernelFactor is the multiple of its size that a socket buffer may hold: the kernel
// doubles the size to allow for its own records.
const kernelFactor = 2

// Use is what a connection does that costs memory.
type Use struct {
	// Held is the size of the request body and of the answer that are buffered.
	Held int64
	// SendsAhead is set if bytes wait in the socket because the process does not read
	// them: a body that the server does not take, or requests behind the current one.
	SendsAhead bool
	// Ahead is set while further requests of the connection run before their turn.
	Ahead bool
	// Streaming is set while an answer is streamed, and Stalled while the caller does
	// not read it. Further requests of a stalled caller wait in its socket.
	Streaming, Stalled bool
}

// Charge returns the bytes that a connection counts for.
func (b *Bounds) Charge(u Use) int64 {
	charge := ConnectionBytes + u.Held
	if u.Ahead {
		charge += AheadBytes
	}
	if u.SendsAhead || u.Stalled {
		charge += kernelFactor * int64(b.ReceiveBuffer)
	}
	if u.Stalled {
		charge += kernelFactor * int64(b.AnswerBuffer)
		if u.Streaming {
			charge += serverBytes + kernelFactor*int64(b.AnswerBuffer)
		}
	}
	return charge
}
