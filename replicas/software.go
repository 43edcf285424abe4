package replicas

import (
	"maps"
	"slices"
	"time"
)

// softwareRetention is the time for which the software of servers that are gone is remembered.
const softwareRetention = 10 * time.Minute

// departedSoftware identifies a version of the software of a service's servers.
type departedSoftware struct{ service, software string }

// softwareLeft records that a server of the service no longer has the software.
func (t *Table) softwareLeft(now time.Time, service, software string) {
	maps.DeleteFunc(t.departed, func(_ departedSoftware, at time.Time) bool { return now.Sub(at) > softwareRetention })
	t.departed[departedSoftware{service, software}] = now
}

// Softwares returns the versions of the software of the service's servers, now and within the
// span before, which is at most softwareRetention. They are sorted; servers that name no version
// count as one with an empty name.
func (t *Table) Softwares(now time.Time, service string, span time.Duration) []string {
	var versions []string
	if svc := t.services[service]; svc != nil {
		for _, s := range svc.servers {
			versions = append(versions, s.Software)
			if s.restarted {
				versions = append(versions, "")
			}
		}
	}
	for d, at := range t.departed {
		if d.service == service && now.Sub(at) <= span {
			versions = append(versions, d.software)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// MarkRestarted records that a later start runs under the ID and address of the server that has the
// entry. Until its own entry is set, it goes on with no response.
func (t *Table) MarkRestarted(e Entry) {
	if t.SameStart(e) {
		t.rows[e.ID].restarted = true
	}
}

// continuableBy reports whether the server's software may go on with the response. A
// server that names no version fits no other one, nor does one whose version is not known yet.
func (r *Requirement) continuableBy(s *Server) bool {
	return r.Software == nil || s.Software != "" && s.Software == *r.Software && !s.restarted
}

// mayGoOn reports whether some server that stays may go on with the response, now or later.
func (svc *service) mayGoOn(now time.Time, req *Requirement) bool {
	return slices.ContainsFunc(svc.servers, func(s *Server) bool {
		if s.Draining || !req.continuableBy(s) {
			return false
		}
		e := req.exclusionOf(now, s)
		return e == nil || !e.Until.IsZero()
	})
}
