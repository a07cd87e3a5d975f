package stand

import (
	"hash/fnv"
	"net/http"
	"strconv"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/kernel/sharedcache"
)

// owner is whose a request is, as its headers say.
type owner struct {
	tenant  string
	share   int
	urgency int
}

func ownerOf(h http.Header) owner {
	o := owner{tenant: h.Get(backend.HeaderTenant), share: 1}
	if n, err := strconv.Atoi(h.Get(backend.HeaderTenantShare)); err == nil {
		o.share = n
	}
	o.urgency, _ = strconv.Atoi(h.Get(backend.HeaderUrgency))
	return o
}

// sharedPrefixes is a bounded cache of prompts that tenants share by the weights
// that come with their requests.
type sharedPrefixes struct {
	cache *sharedcache.Cache[uint64, struct{}]
}

func newSharedPrefixes(max int) *sharedPrefixes {
	return &sharedPrefixes{cache: sharedcache.New[uint64, struct{}](max, nil)}
}

// take says how many of a prompt's blocks are warm, of how many.
func (p *sharedPrefixes) take(item, prompt string, by owner) (warm, all int) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(item))
	var keys []uint64
	whole := true
	for at := 0; at < len(prompt); at += block {
		_, _ = h.Write([]byte(prompt[at:min(at+block, len(prompt))]))
		key := h.Sum64()
		keys = append(keys, key)
		if _, found := p.cache.Peek(key); !found {
			whole = false
		} else if whole {
			warm++
		}
	}
	p.cache.SetShare(by.tenant, by.share)
	// Why: the beginning is used last, since what comes behind it is worth nothing without it.
	for i := len(keys) - 1; i >= 0; i-- {
		p.cache.Put(keys[i], sharedcache.Owner{Tenant: by.tenant, Rank: by.urgency}, 1, struct{}{})
	}
	return warm, len(keys)
}
