// Package simnode runs nodes on a simulated network that take part in the membership, and in whatever else
// a test adds to them before they serve.
package simnode

import (
	"io"
	"log/slog"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simnet"
)

// logLines is how many log lines a node keeps.
const logLines = 10

// Node is a node on a machine of its own.
type Node struct {
	Group   *run.Group
	Log     *slog.Logger
	Mux     *wire.Mux
	Post    *wire.DatagramSocket
	Caller  *wire.Client
	Touch   *touch.Tracker
	Members *member.Table
	server  *wire.Server
}

// New puts a node on a machine, under the address that self names; it looks for the others and answers
// nobody before it serves.
func New(parent *run.Group, host *simnet.Host, self member.Node, seeds []string) (*Node, error) {
	listener, err := host.Listen(self.Addr)
	if err != nil {
		return nil, err
	}
	packets, err := host.ListenPacket(self.Addr)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	clock := simhost.NewClock()
	n := &Node{Group: parent.Child(), Log: ring.New(io.Discard, logLines).Logger(), Mux: wire.NewMux(), Post: wire.NewDatagramSocket(packets),
		Caller: wire.NewClient(host), Touch: touch.New(clock)}
	n.Members = member.New(n.Group, clock, n.Log, n.Post, n.Caller, n.Mux, self, seeds, n.Touch)
	n.server = wire.NewServer(listener, n.Mux)
	return n, nil
}

// Serve answers calls and datagrams from now on.
func (n *Node) Serve() {
	n.Group.Go(n.Post.Run)
	n.Group.Go(n.server.Run)
}

// Stop ends the node without a word.
func (n *Node) Stop() {
	n.Post.Close()
	n.server.Close()
	n.Group.Stop()
	n.Caller.Close()
}
