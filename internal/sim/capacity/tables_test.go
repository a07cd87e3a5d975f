package capacity

import (
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
)

func gossipTable(replicas, items, expects int, cfg []byte) *gossip.Table {
	t := gossip.NewTable()
	fill(t, replicas, items, expects, cfg)
	return t
}

func fill(t *gossip.Table, replicas, items, expects int, cfg []byte) {
	for i := range replicas {
		t.PutRemote(gossip.Entry{Key: order.Key(ReplicaID(i)), Stamp: stamp(i), Value: wire.Marshal(replicaStatus(i, items))})
	}
	for i := range expects {
		t.PutRemote(gossip.Entry{Key: plan.ExpectationKey(ItemName(i)), Stamp: stamp(i), Value: wire.Marshal(plan.Expectation{ReadyMs: 43000, Reason: "no replica can load it now"})})
	}
	if cfg != nil {
		t.PutRemote(gossip.Entry{Key: conf.Key, Stamp: stamp(1), Value: cfg})
	}
}
