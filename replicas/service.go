package replicas

import (
	"slices"
	"strings"
	"time"
)

// ejectionInterval is the interval at which a service's ejected servers are selected again if
// nothing has changed but their observations' age.
const ejectionInterval = 50 * time.Millisecond

// service holds the servers of one service.
type service struct {
	servers    []*Server            // ordered by ID
	byModel    map[string][]*Server // the servers whose entry or status names the model, ordered by ID
	staying    int                  // servers that do not drain, as of ejectedAt
	ejectedAt  time.Time            // when the ejected servers were last selected
	outdated   bool                 // the servers or their health have changed since
	candidates []outlier            // buffer of refreshEjections
	sizes      meanSize             // of the requests that this node sent
}

// outlier is a server that performs worse than the mean of its service.
type outlier struct {
	row     *Server
	penalty float64
}

// list adds the server to its service.
func (t *Table) list(s *Server) {
	svc := t.services[s.Service]
	if svc == nil {
		svc = &service{byModel: map[string][]*Server{}}
		t.services[s.Service] = svc
	}
	svc.servers = insertByID(svc.servers, s)
	svc.outdated = true
	s.models = nil
	svc.listModels(s)
}

// insertByID inserts the server into a list that is ordered by ID.
func insertByID(servers []*Server, s *Server) []*Server {
	at, _ := slices.BinarySearchFunc(servers, s.ID, func(other *Server, id string) int { return strings.Compare(other.ID, id) })
	return slices.Insert(servers, at, s)
}

// without removes the server from a list.
func without(servers []*Server, s *Server) []*Server {
	return slices.DeleteFunc(servers, func(other *Server) bool { return other == s })
}

// listModels lists the server under the models that its entry or status names, after one of
// them has changed.
func (svc *service) listModels(s *Server) {
	var models []string
	add := func(holdings []Holding) {
		for _, h := range holdings {
			if !slices.Contains(models, h.Model) {
				models = append(models, h.Model)
			}
		}
	}
	add(s.Holds)
	if s.status != nil {
		add(s.status.Holds)
	}
	slices.Sort(models)
	if slices.Equal(models, s.models) {
		return
	}
	s.pace.modelsListed(s.models, models)
	svc.unlistModels(s)
	for _, m := range models {
		svc.byModel[m] = insertByID(svc.byModel[m], s)
	}
	s.models = models
}

// unlistModels removes the server from the lists of its models.
func (svc *service) unlistModels(s *Server) {
	for _, m := range s.models {
		if svc.byModel[m] = without(svc.byModel[m], s); len(svc.byModel[m]) == 0 {
			delete(svc.byModel, m)
		}
	}
	s.models = nil
}

// holders returns the servers that may hold the model, or all of a plain service.
func (svc *service) holders(model string) []*Server {
	if model == "" {
		return svc.servers
	}
	return svc.byModel[model]
}

// unlist removes the server, unless nil, from its service.
func (t *Table) unlist(now time.Time, s *Server) {
	if s == nil {
		return
	}
	t.softwareLeft(now, s.Service, s.Software)
	svc := t.services[s.Service]
	svc.unlistModels(s)
	svc.servers = without(svc.servers, s)
	svc.outdated = true
	if len(svc.servers) == 0 {
		delete(t.services, s.Service)
	}
}

// healthChanged has the ejected servers of the server's service selected again.
func (t *Table) healthChanged(s *Server) { t.services[s.Service].outdated = true }

// refreshEjections selects the servers whose penalty exceeds ejectThreshold. At most
// maxEjectedShare of the service's servers that stay, but at least one, can be ejected;
// those with the highest penalties are.
func (svc *service) refreshEjections(now time.Time) {
	if age := now.Sub(svc.ejectedAt); !svc.outdated && age >= 0 && age < ejectionInterval {
		return
	}
	svc.ejectedAt, svc.outdated = now, false
	mean := means(now, svc.servers)
	outliers := svc.candidates[:0]
	svc.staying = 0
	for _, s := range svc.servers {
		s.ejected = false
		if s.Draining {
			continue
		}
		svc.staying++
		if p := s.penalty(now, mean); p > ejectThreshold {
			outliers = append(outliers, outlier{s, p})
		}
	}
	svc.candidates = outliers
	if len(outliers) == 0 {
		return
	}
	slices.SortFunc(outliers, func(a, b outlier) int {
		switch {
		case a.penalty > b.penalty:
			return -1
		case a.penalty < b.penalty:
			return 1
		}
		return strings.Compare(a.row.ID, b.row.ID)
	})
	limit := max(1, int(float64(svc.staying)*maxEjectedShare))
	for _, o := range outliers[:min(limit, len(outliers))] {
		o.row.ejected = true
	}
}
