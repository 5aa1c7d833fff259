package member

// zoneKey names the report of an observer about a zone.
type zoneKey struct {
	observer id
	zone     string
}

type zoneReport struct {
	sight   Sight
	version uint64
}

// reportZone states that every subject that this balancer observes in a zone is lost, or seen again, in one report.
func (m *Machine) reportZone(zone string, sight Sight, watches []*watch) {
	m.version++
	for _, w := range watches {
		w.stated = sight
		w.returnedAt = zeroTime
	}
	m.mergeZone(ZoneReport{Observer: m.self.Data, Zone: zone, Sight: sight, Version: m.version}, 0)
	m.act(ZoneChanged{Zone: zone, IsLost: sight == Lost, Subjects: len(watches)})
}

func (m *Machine) ownZoneReport(zone string) Sight {
	return m.zones[zoneKey{m.selfID, zone}].sight
}

// sightOf returns what an observation says, once newer reports of its observer about the subject's zone are counted.
func (m *Machine) sightOf(o observation, zone string) Sight {
	if len(m.zones) == 0 {
		return o.sight
	}
	report, ok := m.zones[zoneKey{o.observer, zone}]
	if ok && report.version > o.version && o.sight != Released {
		return report.sight
	}
	return o.sight
}
