package route

import (
	"maps"
	"net/netip"

	"gentianswitch/internal/rendezvous"
	"gentianswitch/internal/tables"
)

// shardCount is the number of parts of an index. A change copies the parts that it touches and shares the others.
const shardCount = 256

type entry struct {
	route   *tables.Route
	service uint16
}

// routeIndex finds routes by address. It is immutable.
type routeIndex struct {
	shards *[shardCount]map[netip.AddrPort]entry
}

func routeShard(address netip.AddrPort) uint8 {
	ip := address.Addr().As4()
	mixed := rendezvous.Sequence{State: uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(address.Port())}
	return uint8(mixed.Next())
}

func (x routeIndex) get(address netip.AddrPort) (entry, bool) {
	if x.shards == nil || !address.Addr().Is4() {
		return entry{}, false
	}
	e, ok := x.shards[routeShard(address)][address]
	return e, ok
}

// replace returns an index in which the rows of fresh stand for those of old.
func (x routeIndex) replace(old, fresh []tables.Route, services map[string]uint16) routeIndex {
	if len(old)+len(fresh) == 0 {
		return x
	}
	edit := x.edit()
	isKept := make(map[netip.AddrPort]struct{}, len(fresh))
	for i := range fresh {
		isKept[fresh[i].Address] = struct{}{}
		edit.put(&fresh[i], services[fresh[i].Pool])
	}
	for i := range old {
		if _, ok := isKept[old[i].Address]; !ok {
			edit.remove(old[i].Address)
		}
	}
	return edit.done()
}

// routeEdit collects changes of a routeIndex.
type routeEdit struct {
	shards  [shardCount]map[netip.AddrPort]entry
	isOwned [shardCount]bool
}

func (x routeIndex) edit() *routeEdit {
	e := &routeEdit{}
	if x.shards != nil {
		e.shards = *x.shards
	}
	return e
}

func (e *routeEdit) own(shard uint8) map[netip.AddrPort]entry {
	if !e.isOwned[shard] {
		e.shards[shard] = maps.Clone(e.shards[shard])
		e.isOwned[shard] = true
	}
	if e.shards[shard] == nil {
		e.shards[shard] = make(map[netip.AddrPort]entry)
	}
	return e.shards[shard]
}

func (e *routeEdit) put(r *tables.Route, service uint16) {
	shard := routeShard(r.Address)
	known, ok := e.shards[shard][r.Address]
	if ok && known.service == service && *known.route == *r {
		return
	}
	// The copy keeps the entry from holding on to the whole list that r is part of.
	row := *r
	e.own(shard)[r.Address] = entry{route: &row, service: service}
}

func (e *routeEdit) remove(address netip.AddrPort) {
	shard := routeShard(address)
	if _, ok := e.shards[shard][address]; ok {
		delete(e.own(shard), address)
	}
}

func (e *routeEdit) done() routeIndex {
	return routeIndex{shards: &e.shards}
}

// groupIndex finds groups by service. It is immutable.
type groupIndex struct {
	pages *[shardCount]*groupPage
}

type groupPage [1 << 16 / shardCount]*group

func (x groupIndex) get(service uint16) *group {
	if x.pages == nil || x.pages[service>>8] == nil {
		return nil
	}
	return x.pages[service>>8][uint8(service)]
}

// groupEdit collects changes of a groupIndex.
type groupEdit struct {
	pages   [shardCount]*groupPage
	isOwned [shardCount]bool
}

func (x groupIndex) edit() *groupEdit {
	e := &groupEdit{}
	if x.pages != nil {
		e.pages = *x.pages
	}
	return e
}

func (e *groupEdit) put(service uint16, g *group) {
	page := service >> 8
	if !e.isOwned[page] {
		owned := &groupPage{}
		if e.pages[page] != nil {
			*owned = *e.pages[page]
		}
		e.pages[page] = owned
		e.isOwned[page] = true
	}
	e.pages[page][uint8(service)] = g
}

func (e *groupEdit) done() groupIndex {
	return groupIndex{pages: &e.pages}
}
