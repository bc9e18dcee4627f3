package coordinator

import (
	"time"

	"azuredoor.example/core/fleetpb"
)

// Sums adds up the use that entries report. Its responses hold the sums over the other entries, so that each entry can
// treat the rest of the fleet as one peer. It is not safe for concurrent use.
type Sums struct {
	entries   map[uint64]*entryUse
	upstreams map[string]*upstreamSum
	services  map[string]counts
	demands   map[string]counts
}

// counts holds counters that never decrease, in the order of the fields of a message.
type counts [4]uint64

func (c counts) plus(other counts) counts {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

// since returns the increase since an earlier report, or zero if the entry has started anew.
func (c counts) since(earlier counts) counts {
	for i := range c {
		if c[i] < earlier[i] {
			return counts{}
		}
		c[i] -= earlier[i]
	}
	return c
}

// counter is a counter of one entry: the last report, and what has been added to the sum.
type counter struct{ reported, added counts }

type entryUse struct {
	at                time.Time
	upstreams         []*fleetpb.UpstreamUse
	services, demands map[string]*counter
}

type upstreamSum struct {
	incarnation uint64
	work        int64
	requests    uint32
	// ejectedAt is when an entry last reported an ejection, ejectedBy the session of the entry.
	ejectedAt time.Time
	ejectedBy uint64
}

// NewSums returns empty sums.
func NewSums() *Sums {
	return &Sums{
		entries: map[uint64]*entryUse{}, upstreams: map[string]*upstreamSum{}, services: map[string]counts{}, demands: map[string]counts{},
	}
}

// ejectionLifetime is how long a reported ejection is passed on.
const ejectionLifetime = time.Second

// Exchange records a report and returns the sums over the other entries.
func (s *Sums) Exchange(now time.Time, report *fleetpb.UseReport) *fleetpb.FleetUse {
	e := s.entries[report.SessionId]
	if e == nil {
		e = &entryUse{services: map[string]*counter{}, demands: map[string]*counter{}}
		s.entries[report.SessionId] = e
	}
	e.at = now
	s.addUpstreams(e, -1)
	e.upstreams = report.Upstreams
	s.addUpstreams(e, 1)
	for _, u := range report.Upstreams {
		if sum := s.upstreams[u.Id]; u.Ejected && sum.incarnation == u.Incarnation {
			sum.ejectedAt, sum.ejectedBy = now, report.SessionId
		}
	}
	response := &fleetpb.FleetUse{}
	for _, r := range report.Services {
		add(s.services, e.services, r.Service, counts{r.Requests, r.Retries})
	}
	for service, sum := range s.services {
		others := sum.since(e.added(e.services, service))
		response.Services = append(response.Services, &fleetpb.ServiceUse{Service: service, Requests: others[0], Retries: others[1]})
	}
	for _, d := range report.Demands {
		add(s.demands, e.demands, d.Service, counts{d.Generations, d.PromptTokens, d.Room, d.OutputTokens})
	}
	for service, sum := range s.demands {
		others := sum.since(e.added(e.demands, service))
		response.Demands = append(response.Demands, &fleetpb.ServiceDemand{
			Service: service, Generations: others[0], PromptTokens: others[1], Room: others[2], OutputTokens: others[3],
		})
	}
	response.Upstreams = s.otherUpstreams(now, report)
	return response
}

// add adds the increase of an entry's counter to the sum. The first report of an entry adds nothing, because the time of
// the use is unknown.
func add(sums map[string]counts, own map[string]*counter, name string, reported counts) {
	c := own[name]
	if c == nil {
		c = &counter{reported: reported}
		own[name] = c
	}
	increase := reported.since(c.reported)
	c.reported, c.added = reported, c.added.plus(increase)
	sums[name] = sums[name].plus(increase)
}

func (e *entryUse) added(own map[string]*counter, name string) counts {
	if c := own[name]; c != nil {
		return c.added
	}
	return counts{}
}

// addUpstreams adds the loads of an entry to the sums, or subtracts them.
func (s *Sums) addUpstreams(e *entryUse, sign int) {
	for _, u := range e.upstreams {
		sum := s.upstreams[u.Id]
		if sum == nil || sum.incarnation < u.Incarnation {
			sum = &upstreamSum{incarnation: u.Incarnation}
			s.upstreams[u.Id] = sum
		}
		if sum.incarnation != u.Incarnation {
			continue
		}
		sum.work = max(0, sum.work+int64(sign)*u.Work)
		sum.requests = uint32(max(0, int64(sum.requests)+int64(sign)*int64(u.Requests)))
	}
}

// otherUpstreams returns the loads and ejections of the other entries.
func (s *Sums) otherUpstreams(now time.Time, report *fleetpb.UseReport) []*fleetpb.UpstreamUse {
	own := make(map[string]*fleetpb.UpstreamUse, len(report.Upstreams))
	for _, u := range report.Upstreams {
		own[u.Id] = u
	}
	var others []*fleetpb.UpstreamUse
	for id, sum := range s.upstreams {
		use := &fleetpb.UpstreamUse{
			Id: id, Incarnation: sum.incarnation, Work: sum.work, Requests: sum.requests,
			Ejected: sum.ejectedBy != report.SessionId && now.Sub(sum.ejectedAt) < ejectionLifetime,
		}
		if u := own[id]; u != nil && u.Incarnation == sum.incarnation {
			use.Work = max(0, use.Work-u.Work)
			use.Requests -= min(use.Requests, u.Requests)
		}
		if use.Requests > 0 || use.Ejected {
			others = append(others, use)
		}
	}
	return others
}

// Sweep forgets entries whose sessions have ended, and the loads of those that have been silent for longer than the given
// time.
func (s *Sums) Sweep(now time.Time, silence time.Duration, ended func(session uint64) bool) {
	for session, e := range s.entries {
		if now.Sub(e.at) > silence {
			s.addUpstreams(e, -1)
			e.upstreams = nil
			if ended(session) {
				delete(s.entries, session)
			}
		}
	}
	for id, sum := range s.upstreams {
		if sum.requests == 0 && now.Sub(sum.ejectedAt) >= ejectionLifetime {
			delete(s.upstreams, id)
		}
	}
}
