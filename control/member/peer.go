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
	// queuedMessages bounds what waits for a peer; older messages are dropped, and consensus sends again.
	queuedMessages = 256
	// chunkBytes is the size of the parts of larger messages.
	chunkBytes = 1 << 20
	// probeEvery and probeTimeout find connections that no longer carry data: grpc-go does not ping more
	// often than every 10 s.
	probeEvery   = 300 * time.Millisecond
	probeTimeout = time.Second
	// reachableFor is how long an answered probe counts.
	reachableFor = 2 * time.Second
	reconnect    = 50 * time.Millisecond

	senderID      = "azuredoor-member-id"
	senderAddress = "azuredoor-member-address"
)

// peer sends messages to one member.
type peer struct {
	id        uint64
	address   string
	transport *transport
	// learned is set while no membership names the peer. The transport's lock guards it.
	learned bool
	cancel  context.CancelFunc
	queue   chan *fleetpb.ConsensusMessage
	conn    atomic.Pointer[grpc.ClientConn]
	// answer is the last answer to a probe.
	answer atomic.Pointer[probeAnswer]
}

type probeAnswer struct {
	at   time.Time
	info *fleetpb.InfoResponse
}

func (p *peer) connection() *grpc.ClientConn { return p.conn.Load() }

func (p *peer) reachable() bool {
	answer := p.answer.Load()
	return answer != nil && time.Since(answer.at) < reachableFor
}

// send queues a message and drops the oldest one when the queue is full. It has one caller.
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

// run keeps a connection until the context ends; one that is broken or silent is replaced.
func (p *peer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		// The cause of a broken connection does not matter: the next attempt is the only remedy.
		_ = p.connectOnce(ctx)
		select {
		case <-time.After(reconnect):
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
	if closing := conn.Close(); err == nil && closing != nil {
		err = eris.Wrap(closing, "close a connection")
	}
	return err
}

// probe calls the peer on the same connection. A missing answer ends the connection.
func (p *peer) probe(ctx context.Context, conn *grpc.ClientConn) error {
	client := fleetpb.NewConsensusClient(conn)
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		info, err := client.Info(call, &fleetpb.InfoRequest{})
		cancel()
		if err != nil {
			return eris.Wrap(err, "probe a member")
		}
		if info.Id == p.id {
			p.answer.Store(&probeAnswer{at: time.Now(), info: info})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *peer) write(ctx context.Context, conn *grpc.ClientConn) error {
	ctx = metadata.AppendToOutgoingContext(ctx, senderID, formatID(p.transport.self), senderAddress, p.transport.address)
	stream, err := fleetpb.NewConsensusClient(conn).Step(ctx)
	if err != nil {
		return eris.Wrap(err, "open a stream")
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

func writeMessage(stream grpc.ClientStreamingClient[fleetpb.StepChunk, fleetpb.StepDone], message *fleetpb.ConsensusMessage) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode a message")
	}
	for {
		part := data[:min(len(data), chunkBytes)]
		data = data[len(part):]
		if err := stream.Send(&fleetpb.StepChunk{Data: part, Last: len(data) == 0}); err != nil {
			return eris.Wrap(err, "send a message")
		}
		if len(data) == 0 {
			return nil
		}
	}
}
