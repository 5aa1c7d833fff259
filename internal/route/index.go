package route

import (
	"maps"
	"net/netip"

	"gentianswitch/internal/rendezvous"
	"gentianswitch/internal/tables"
)

// shardCount is the number of parts of an index. A change copies the parts that it touches and shares the others.
const shardCount = 256

type routeEntry struct {
	route   *tables.Route
	service uint16
}

// routeIndex finds routes by address. It is immutable.
type routeIndex struct {
	shards *[shardCount]map[netip.AddrPort]routeEntry
}

func shardOf(address netip.AddrPort) uint8 {
	ip := address.Addr().As4()
	mixed := rendezvous.Sequence{State: uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(address.Port())}
	return uint8(mixed.Next())
}

func (x routeIndex) get(address netip.AddrPort) (routeEntry, bool) {
	if x.shards == nil || !address.Addr().Is4() {
		return routeEntry{}, false
	}
	e, ok := x.shards[shardOf(address)][address]
	return e, ok
}

// replace returns an index in which the rows of fresh stand for those of old.
func (x routeIndex) replace(old, updated []tables.Route, services map[string]uint16) routeIndex {
	if len(old)+len(updated) == 0 {
		return x
	}
	builder := x.newBuilder()
	inUpdated := make(map[netip.AddrPort]struct{}, len(updated))
	for i := range updated {
		inUpdated[updated[i].Address] = struct{}{}
		builder.put(&updated[i], services[updated[i].Pool])
	}
	for i := range old {
		if _, ok := inUpdated[old[i].Address]; !ok {
			builder.remove(old[i].Address)
		}
	}
	return builder.build()
}

// routeEdit collects changes of a routeIndex.
type routeIndexBuilder struct {
	shards   [shardCount]map[netip.AddrPort]routeEntry
	isCopied [shardCount]bool
}

func (x routeIndex) newBuilder() *routeIndexBuilder {
	e := &routeIndexBuilder{}
	if x.shards != nil {
		e.shards = *x.shards
	}
	return e
}

func (e *routeIndexBuilder) writableShard(shard uint8) map[netip.AddrPort]routeEntry {
	if !e.isCopied[shard] {
		e.shards[shard] = maps.Clone(e.shards[shard])
		e.isCopied[shard] = true
	}
	if e.shards[shard] == nil {
		e.shards[shard] = make(map[netip.AddrPort]routeEntry)
	}
	return e.shards[shard]
}

func (e *routeIndexBuilder) put(r *tables.Route, service uint16) {
	shard := shardOf(r.Address)
	present, ok := e.shards[shard][r.Address]
	if ok && present.service == service && *present.route == *r {
		return
	}
	// The copy keeps the entry from holding on to the whole list that r is part of.
	row := *r
	e.writableShard(shard)[r.Address] = routeEntry{route: &row, service: service}
}

func (e *routeIndexBuilder) remove(address netip.AddrPort) {
	shard := shardOf(address)
	if _, ok := e.shards[shard][address]; ok {
		delete(e.writableShard(shard), address)
	}
}

func (e *routeIndexBuilder) build() routeIndex {
	return routeIndex{shards: &e.shards}
}

// groupIndex finds groups by service. It is immutable.
type groupIndex struct {
	pages *[shardCount]*groupPage
}

type groupPage [1 << 16 / shardCount]*targetGroup

func (x groupIndex) get(service uint16) *targetGroup {
	if x.pages == nil || x.pages[service>>8] == nil {
		return nil
	}
	return x.pages[service>>8][uint8(service)]
}

// groupEdit collects changes of a groupIndex.
type groupIndexBuilder struct {
	pages    [shardCount]*groupPage
	isCopied [shardCount]bool
}

func (x groupIndex) newBuilder() *groupIndexBuilder {
	e := &groupIndexBuilder{}
	if x.pages != nil {
		e.pages = *x.pages
	}
	return e
}

func (e *groupIndexBuilder) put(service uint16, g *targetGroup) {
	page := service >> 8
	if !e.isCopied[page] {
		copied := &groupPage{}
		if e.pages[page] != nil {
			*copied = *e.pages[page]
		}
		e.pages[page] = copied
		e.isCopied[page] = true
	}
	e.pages[page][uint8(service)] = g
}

func (e *groupIndexBuilder) build() groupIndex {
	return groupIndex{pages: &e.pages}
}
