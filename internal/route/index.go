package route

import (
	"maps"
	"net/netip"

	"gentianswitch/internal/rendezvous"
	"gentianswitch/internal/tables"
)

// shardCount is the number of shards, or pages, of an index. A modified copy of an index shares the unmodified shards.
const shardCount = 256

// routeEntry is a declared route with the service of its pool.
type routeEntry struct {
	route   *tables.Route
	service uint16
}

// routeIndex finds routes by address. It is immutable.
type routeIndex struct {
	shards *[shardCount]map[netip.AddrPort]routeEntry
}

// shardOf returns the shard of a route with the given IPv4 address and port.
func shardOf(address netip.AddrPort) uint8 {
	ip := address.Addr().As4()
	mixed := rendezvous.Sequence{
		State: uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(address.Port()),
	}
	return uint8(mixed.Next())
}

func (x routeIndex) get(address netip.AddrPort) (routeEntry, bool) {
	if x.shards == nil || !address.Addr().Is4() {
		return routeEntry{}, false
	}
	e, ok := x.shards[shardOf(address)][address]
	return e, ok
}

// replace returns an index without the routes in old and with those in updated. The map services contains the service of each
// pool.
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

// routeIndexBuilder builds a modified copy of a routeIndex.
type routeIndexBuilder struct {
	shards   [shardCount]map[netip.AddrPort]routeEntry
	isCopied [shardCount]bool
}

func (x routeIndex) newBuilder() *routeIndexBuilder {
	b := &routeIndexBuilder{}
	if x.shards != nil {
		b.shards = *x.shards
	}
	return b
}

// writableShard returns a shard that may be modified. The first call for a shard copies it.
func (b *routeIndexBuilder) writableShard(shard uint8) map[netip.AddrPort]routeEntry {
	if !b.isCopied[shard] {
		b.shards[shard] = maps.Clone(b.shards[shard])
		b.isCopied[shard] = true
	}
	if b.shards[shard] == nil {
		b.shards[shard] = make(map[netip.AddrPort]routeEntry)
	}
	return b.shards[shard]
}

func (b *routeIndexBuilder) put(r *tables.Route, service uint16) {
	shard := shardOf(r.Address)
	present, ok := b.shards[shard][r.Address]
	if ok && present.service == service && *present.route == *r {
		return
	}
	// The entry refers to a copy: a reference to r would keep the whole list that contains r in memory.
	row := *r
	b.writableShard(shard)[r.Address] = routeEntry{route: &row, service: service}
}

func (b *routeIndexBuilder) remove(address netip.AddrPort) {
	shard := shardOf(address)
	if _, ok := b.shards[shard][address]; ok {
		delete(b.writableShard(shard), address)
	}
}

func (b *routeIndexBuilder) build() routeIndex {
	return routeIndex{shards: &b.shards}
}

// groupIndex finds the group of a service's pool. It is immutable.
type groupIndex struct {
	pages *[shardCount]*groupPage
}

// groupPage holds the groups of the services that have the same upper 8 bits.
type groupPage [1 << 16 / shardCount]*targetGroup

func (x groupIndex) get(service uint16) *targetGroup {
	if x.pages == nil || x.pages[service>>8] == nil {
		return nil
	}
	return x.pages[service>>8][uint8(service)]
}

// groupIndexBuilder builds a modified copy of a groupIndex.
type groupIndexBuilder struct {
	pages    [shardCount]*groupPage
	isCopied [shardCount]bool
}

func (x groupIndex) newBuilder() *groupIndexBuilder {
	b := &groupIndexBuilder{}
	if x.pages != nil {
		b.pages = *x.pages
	}
	return b
}

func (b *groupIndexBuilder) put(service uint16, g *targetGroup) {
	page := service >> 8
	if !b.isCopied[page] {
		copied := &groupPage{}
		if b.pages[page] != nil {
			*copied = *b.pages[page]
		}
		b.pages[page] = copied
		b.isCopied[page] = true
	}
	b.pages[page][uint8(service)] = g
}

func (b *groupIndexBuilder) build() groupIndex {
	return groupIndex{pages: &b.pages}
}
