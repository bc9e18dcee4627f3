package state

import (
	"maps"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
)

// AnnouncementEffect is the effect of an announcement on the replicated state.
type AnnouncementEffect int

// Effects of an announcement.
const (
	// AnnouncementChanges means that the announcement changes the state and needs a log entry.
	AnnouncementChanges AnnouncementEffect = iota
	// AnnouncementUnchanged means that the state already holds what the upstream announces.
	AnnouncementUnchanged
	// AnnouncementStale means that the state holds a newer announcement of the upstream.
	AnnouncementStale
)

func (m *Machine) announceUpstream(c *fleetpb.AnnounceUpstreamRequest) *fleetpb.Result {
	if c.Withdraw {
		return m.withdrawUpstream(c.Upstream)
	}
	if text := checkUpstream(c.Upstream); text != "" {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "%s", text)
	}
	switch m.announcementEffect(c.Upstream) {
	case AnnouncementStale:
		return failure(fleetpb.ResultCode_RESULT_CODE_STALE, "a newer announcement of upstream %q is known", c.Upstream.Id)
	case AnnouncementUnchanged:
		return success()
	case AnnouncementChanges:
	}
	if m.hasNewerAtAddress(c.Upstream) {
		return failure(fleetpb.ResultCode_RESULT_CODE_STALE, "upstream %q has lost its address to a newer upstream", c.Upstream.Id)
	}
	m.markOthersAtAddressDown(c.Upstream)
	next := proto.CloneOf(c.Upstream)
	next.Desired, next.WasLeaving = m.upstreams[next.Id].GetDesired(), false
	m.putUpstream(next)
	return success()
}

// hasNewerAtAddress reports whether another upstream that started later and is not down has the address of u. In that
// case u has ended, and a partition delayed its announcement: the announcement must not make u active again.
func (m *Machine) hasNewerAtAddress(u *fleetpb.Upstream) bool {
	for _, other := range m.upstreams {
		if other.Id != u.Id && other.Address == u.Address && other.Incarnation > u.Incarnation &&
			other.State != fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			return true
		}
	}
	return false
}

// markOthersAtAddressDown marks all other upstreams at the address of u as down, because only one process at a time
// listens at an address.
func (m *Machine) markOthersAtAddressDown(u *fleetpb.Upstream) {
	for _, id := range slices.Sorted(maps.Keys(m.upstreams)) {
		other := m.upstreams[id]
		if id == u.Id || other.Address != u.Address || other.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			continue
		}
		m.markDown(other)
	}
}

// withdrawUpstream marks an incarnation of an upstream as permanently leaving. The highest possible sequence makes each later
// announcement of the same incarnation stale. A withdrawal of an incarnation that has been replaced has no effect.
func (m *Machine) withdrawUpstream(u *fleetpb.Upstream) *fleetpb.Result {
	known := m.upstreams[u.GetId()]
	if known == nil || u.Incarnation != 0 && u.Incarnation != known.Incarnation {
		return success()
	}
	if known.State == fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING && known.Sequence == math.MaxUint64 {
		return success()
	}
	next := proto.CloneOf(known)
	next.Sequence = math.MaxUint64
	if next.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE {
		next.State = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
	}
	m.putUpstream(next)
	return success()
}

// checkUpstream returns the fault of an invalid announced upstream, or "" if u is valid.
func checkUpstream(u *fleetpb.Upstream) string {
	if u.GetId() == "" || len(u.Id) > maxTextBytes || u.Address == "" || len(u.Address) > maxTextBytes {
		return "an upstream has an ID and an address of at most 256 bytes"
	}
	if len(u.Pool) > maxTextBytes || len(u.FailureDomain) > maxTextBytes || len(u.SoftwareVersion) > maxTextBytes || len(u.Models) > maxModels {
		return "the upstream's pool, failure domain or software version is too long, or it has too many models"
	}
	for _, model := range u.Models {
		if len(model) > maxTextBytes {
			return "a model name is too long"
		}
	}
	if u.Kind != config.PoolEngine && u.Kind != config.PoolService {
		return "the upstream's kind must be engine or service"
	}
	if u.State != fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE && u.State != fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING {
		return "the upstream's state must be active or leaving"
	}
	return ""
}

const maxModels = 256

func (m *Machine) announcementEffect(u *fleetpb.Upstream) AnnouncementEffect {
	known := m.upstreams[u.Id]
	if known == nil || u.Incarnation > known.Incarnation {
		return AnnouncementChanges
	}
	if u.Incarnation < known.Incarnation || u.Sequence < known.Sequence {
		return AnnouncementStale
	}
	if sameAnnouncement(u, known) {
		return AnnouncementUnchanged
	}
	if u.Sequence == known.Sequence {
		return AnnouncementStale
	}
	return AnnouncementChanges
}

// sameAnnouncement reports whether a and b announce the same values. The sequence is not compared, because a new
// sequence alone changes nothing.
func sameAnnouncement(a, b *fleetpb.Upstream) bool {
	return a.Address == b.Address && a.Kind == b.Kind && a.Role == b.Role && a.Pool == b.Pool &&
		slices.Equal(a.Models, b.Models) && a.FailureDomain == b.FailureDomain && a.Slots == b.Slots &&
		a.ChecksFencing == b.ChecksFencing && a.State == b.State && a.ColdMillis == b.ColdMillis &&
		a.SoftwareVersion == b.SoftwareVersion
}

func (m *Machine) putUpstream(u *fleetpb.Upstream) {
	m.upstreams[u.Id] = u
	m.recordChange(changeKey{kind: changedUpstream, object: objectKey{name: u.Id}})
}

// markUpstreamsDown marks upstreams as down or, if Forget is set, removes the records of upstreams that are down. A
// reference to another incarnation of an upstream has no effect.
func (m *Machine) markUpstreamsDown(c *fleetpb.MarkUpstreamsDown) *fleetpb.Result {
	for _, ref := range c.Upstreams {
		known := m.upstreams[ref.Id]
		if known == nil || known.Incarnation != ref.Incarnation {
			continue
		}
		if c.Forget {
			if Removable(known) {
				delete(m.upstreams, ref.Id)
				m.recordChange(changeKey{kind: changedUpstream, object: objectKey{name: ref.Id}})
			}
			continue
		}
		if known.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			continue
		}
		m.markDown(known)
	}
	return success()
}

// markDown marks an upstream as down. Whether it was leaving is kept, because one that is only cut off from the control group goes
// on serving until it ends.
func (m *Machine) markDown(u *fleetpb.Upstream) {
	next := proto.CloneOf(u)
	next.WasLeaving = u.State == fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
	next.State = fleetpb.UpstreamState_UPSTREAM_STATE_DOWN
	m.putUpstream(next)
}

// Removable reports whether the record of u can be removed without losing an operator's setting: u is down, and its
// desired state is the default.
func Removable(u *fleetpb.Upstream) bool {
	return u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN && u.Desired == fleetpb.DesiredState_DESIRED_STATE_ACTIVE
}

func (m *Machine) setDesired(c *fleetpb.SetDesired) *fleetpb.Result {
	known := m.upstreams[c.UpstreamId]
	if known == nil {
		return failure(fleetpb.ResultCode_RESULT_CODE_NOT_FOUND, "upstream %q does not exist", c.UpstreamId)
	}
	if _, ok := fleetpb.DesiredState_name[int32(c.Desired)]; !ok {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "unknown desired state")
	}
	next := proto.CloneOf(known)
	next.Desired = c.Desired
	m.revision++
	m.putUpstream(next)
	text := strings.ToLower(strings.TrimPrefix(c.Desired.String(), "DESIRED_STATE_"))
	m.addHistory(&fleetpb.HistoryRecord{
		Operator: c.Operator, RequestId: c.RequestId, Summary: summary("upstream %s: desired state %s", c.UpstreamId, text),
	})
	return success()
}

// removeUpstream removes an upstream that is down. An upstream that still announces itself is refused, because its next
// announcement would add it again without its desired state.
func (m *Machine) removeUpstream(c *fleetpb.RemoveUpstream) *fleetpb.Result {
	known := m.upstreams[c.UpstreamId]
	if known == nil {
		return failure(fleetpb.ResultCode_RESULT_CODE_NOT_FOUND, "upstream %q does not exist", c.UpstreamId)
	}
	if known.State != fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
		return failure(fleetpb.ResultCode_RESULT_CODE_CONFLICT, "upstream %q still announces itself; stop it first", c.UpstreamId)
	}
	delete(m.upstreams, c.UpstreamId)
	m.revision++
	m.recordChange(changeKey{kind: changedUpstream, object: objectKey{name: c.UpstreamId}})
	m.addHistory(&fleetpb.HistoryRecord{
		Operator: c.Operator, RequestId: c.RequestId, Summary: summary("upstream %s: removed", c.UpstreamId),
	})
	return success()
}

// Upstream returns the upstream with the ID, or nil if it is not known.
func (m *Machine) Upstream(id string) *fleetpb.Upstream {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.upstreams[id]
}

// CompareAnnouncement returns the effect that an announcement of u would have, and the stored record of the upstream, or
// nil if there is no record.
func (m *Machine) CompareAnnouncement(u *fleetpb.Upstream) (AnnouncementEffect, *fleetpb.Upstream) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.announcementEffect(u), m.upstreams[u.Id]
}

// Upstreams returns the upstreams ordered by ID.
func (m *Machine) Upstreams() []*fleetpb.Upstream {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sortedValues(m.upstreams)
}

// EachUpstream calls visit for each upstream, in no particular order. The state cannot change before
// EachUpstream returns.
func (m *Machine) EachUpstream(visit func(u *fleetpb.Upstream)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, u := range m.upstreams {
		visit(u)
	}
}
