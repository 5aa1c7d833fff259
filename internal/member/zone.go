package member

// zoneKey identifies an observer's report about an availability zone.
type zoneKey struct {
	observer id
	zone     string
}

// zoneReport is the part of a ZoneReport that its key doesn't hold.
type zoneReport struct {
	liveness Liveness
	version  uint64
}

// reportZone disseminates one report that all subjects which this balancer watches in a zone are lost, or alive again.
func (m *Machine) reportZone(zone string, liveness Liveness, watches []*watch) {
	m.version++
	for _, w := range watches {
		w.reported = liveness
		w.resumedAt = zeroTime
	}
	m.mergeZone(ZoneReport{Observer: m.self.Data, Zone: zone, Liveness: liveness, Version: m.version}, 0)
	m.emit(ZoneChanged{Zone: zone, IsLost: liveness == Lost, SubjectCount: len(watches)})
}

// ownZoneLiveness returns what this balancer last reported about a whole zone, or zero.
func (m *Machine) ownZoneLiveness(zone string) Liveness {
	return m.zoneReports[zoneKey{m.selfID, zone}].liveness
}

// livenessOf returns the liveness that an observer reports for a subject in the given zone. A zone report of the observer
// overrides its older observations, but not a release.
func (m *Machine) livenessOf(o observation, zone string) Liveness {
	if len(m.zoneReports) == 0 {
		return o.liveness
	}
	report, ok := m.zoneReports[zoneKey{o.observer, zone}]
	if ok && report.version > o.version && o.liveness != Released {
		return report.liveness
	}
	return o.liveness
}
