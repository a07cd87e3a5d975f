package capacity

import (
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/news"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
)

func newsTable(replicas, items, expects int, cfg []byte) *news.Table {
	t := news.NewTable()
	fill(t, replicas, items, expects, cfg)
	return t
}

func fill(t *news.Table, replicas, items, expects int, cfg []byte) {
	for i := range replicas {
		t.Learn(news.Entry{Key: order.Key(ReplicaID(i)), Stamp: stamp(i), Value: wire.Pack(replicaNews(i, items))})
	}
	for i := range expects {
		t.Learn(news.Entry{Key: plan.ExpectKey(ItemName(i)), Stamp: stamp(i), Value: wire.Pack(plan.Expect{ReadyMs: 43000, Why: "no replica can load it now"})})
	}
	if cfg != nil {
		t.Learn(news.Entry{Key: conf.Key, Stamp: stamp(1), Value: cfg})
	}
}
