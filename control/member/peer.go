package member

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

const (
	// queuedMessages bounds the messages queued for a peer. When the queue is full, the oldest message is dropped;
	// consensus sends lost messages again.
	queuedMessages = 256
	// chunkBytes is the chunk size for larger messages.
	chunkBytes = 1 << 20
	// probeInterval is the interval between probes, which detect dead connections: grpc-go sends keepalive pings at most
	// every 10 s.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeValidity is how long a peer counts as reachable after a successful probe.
	probeValidity  = 2 * time.Second
	reconnectDelay = 50 * time.Millisecond

	// Keys of the gRPC metadata of a message stream.
	senderIDKey      = "azuredoor-member-id"
	senderAddressKey = "azuredoor-member-address"
)

// peer is the outgoing connection to another member.
type peer struct {
	id        uint64
	address   string
	transport *transport
	// provisional is set while no membership lists the peer. The field is guarded by transport.mu.
	provisional bool
	cancel      context.CancelFunc
	queue       chan *fleetpb.ConsensusMessage
	conn        atomic.Pointer[grpc.ClientConn]
	// lastProbe is the result of the last successful probe.
	lastProbe atomic.Pointer[probeResult]
}

type probeResult struct {
	at   time.Time
	info *fleetpb.InfoResponse
}

func (p *peer) connection() *grpc.ClientConn { return p.conn.Load() }

func (p *peer) reachable() bool {
	last := p.lastProbe.Load()
	return last != nil && time.Since(last.at) < probeValidity
}

// send queues a message and drops the oldest message if the queue is full. Concurrent calls are not allowed.
func (p *peer) send(message *fleetpb.ConsensusMessage) {
	for {
		select {
		case p.queue <- message:
			return
		default:
		}
		select {
		case <-p.queue:
		default:
		}
	}
}

// run maintains a connection until the context is done and replaces a broken or unresponsive connection.
func (p *peer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		// The error is ignored: whatever its cause, the only remedy is to connect again.
		_ = p.connectOnce(ctx)
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
	return nil
}

func (p *peer) connectOnce(ctx context.Context) error {
	conn, err := p.transport.dialer.Dial(p.address)
	if err != nil {
		return err
	}
	p.conn.Store(conn)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.probe(ctx, conn) })
	group.Go(func() error { return p.write(ctx, conn) })
	err = group.Wait()
	p.conn.Store(nil)
	if closeErr := conn.Close(); err == nil && closeErr != nil {
		err = eris.Wrap(closeErr, "close connection")
	}
	return err
}

// probe calls the peer periodically on conn. An error, such as a missing response, makes connectOnce close conn.
func (p *peer) probe(ctx context.Context, conn *grpc.ClientConn) error {
	client := fleetpb.NewConsensusClient(conn)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		info, err := client.Info(call, &fleetpb.InfoRequest{})
		cancel()
		if err != nil {
			return eris.Wrap(err, "probe member")
		}
		if info.Id == p.id {
			p.lastProbe.Store(&probeResult{at: time.Now(), info: info})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *peer) write(ctx context.Context, conn *grpc.ClientConn) error {
	ctx = metadata.AppendToOutgoingContext(ctx, senderIDKey, formatID(p.transport.self), senderAddressKey, p.transport.address)
	stream, err := fleetpb.NewConsensusClient(conn).Step(ctx)
	if err != nil {
		return eris.Wrap(err, "open message stream")
	}
	for {
		select {
		case message := <-p.queue:
			if err := writeMessage(stream, message); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func writeMessage(stream grpc.ClientStreamingClient[fleetpb.StepChunk, fleetpb.StepDone],
	message *fleetpb.ConsensusMessage) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode consensus message")
	}
	for {
		part := data[:min(len(data), chunkBytes)]
		data = data[len(part):]
		if err := stream.Send(&fleetpb.StepChunk{Data: part, Last: len(data) == 0}); err != nil {
			return eris.Wrap(err, "send consensus message")
		}
		if len(data) == 0 {
			return nil
		}
	}
}
