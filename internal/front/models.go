package front

import (
	"encoding/json"
	"net/http"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// models lists the models that backend servers in the table serve.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	in := &inboundRequest{id: s.newRequestID(), arrived: s.clock().Now()}
	if err := s.readAccountAndHeaders(in, r); err != nil {
		s.newResponse(w, in).fail(err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(modelList(s.scheduler.Table()))
}

// ModelList is the response to PathModels.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is one entry of a ModelList.
type ModelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func modelList(t *table.Table) ModelList {
	list := ModelList{Object: "list", Data: []ModelItem{}}
	seen := map[string]bool{}
	for b := range t.AllBackends() {
		if b.Kind != table.Engine {
			continue
		}
		for _, m := range b.Models {
			if !seen[m] {
				seen[m] = true
				list.Data = append(list.Data, ModelItem{ID: m, Object: "model"})
			}
		}
	}
	return list
}
