package front

import (
	"context"
	"net/http"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// What two software versions write does not fit together, and backend servers do not check it. A stream
// therefore goes on only at the version that sent its first event, whether this router moves it or its
// caller takes it up.

// maxResumesLength bounds HeaderConfig.Resumes, in bytes.
const maxResumesLength = 256

// readResumes reads which attempt of its caller a request continues.
func (state *routeState) readResumes(headers *HeaderConfig, h http.Header) *verdict.Error {
	if headers.Resumes == "" {
		return nil
	}
	values := h.Values(headers.Resumes)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || len(values[0]) > maxResumesLength {
		return badHeader(headers.Resumes)
	}
	state.resumes = values[0]
	return nil
}

// isResumption reports whether a caller takes up a stream that an earlier attempt began.
func (state *routeState) isResumption() bool { return state.resumes != "" || state.resumedAfter > 0 }

// resume finds out where a stream may go on that its caller takes up.
func (s *Server) resume(ctx context.Context, in *inboundRequest) *verdict.Error {
	state := in.route
	services := make([]string, len(state.Targets))
	for i, target := range state.Targets {
		services[i] = target.Service
	}
	c, err := s.scheduler.Resume(ctx, Resumption{
		Account: in.account.Name, Request: in.id, Resumes: state.resumes, Services: services, Service: in.model,
		Regions: in.schedulerRequest().Regions,
	})
	if err != nil {
		return acquireError(ctx, err)
	}
	in.model, state.recorded = c.Service, c.Recorded
	state.software.Store(c.Software)
	return nil
}

// onFirstByte returns a function that is called before the first event of an attempt reaches the caller.
func (s *Server) onFirstByte(in *inboundRequest, grant *Grant) func() {
	return func() {
		if in.route.Repeat == table.RepeatResume && !in.route.started {
			s.recordOrigin(in, grant)
		}
		if grant.OnFirstEvent != nil {
			grant.OnFirstEvent()
		}
	}
}

// recordOrigin binds a stream to the software that sends its first event, and lets the fleet remember it.
func (s *Server) recordOrigin(in *inboundRequest, grant *Grant) {
	state := in.route
	if state.software.Load() == nil {
		software := s.softwareOf(grant)
		state.software.Store(&software)
	}
	origin := in.id
	if state.isResumption() {
		origin = state.resumes
	}
	if origin == "" {
		return
	}
	s.scheduler.StreamBegan(StreamStart{
		Account: in.account.Name, Request: origin, Service: in.model, Software: *state.software.Load(), Deadline: in.callerDeadline,
	})
}

// softwareOf returns what the backend server of a grant runs. It is unknown if the server's row has changed
// since: which of both sent the response cannot be told.
func (s *Server) softwareOf(grant *Grant) table.Software {
	t := s.scheduler.Table()
	if t == nil {
		return grant.Software
	}
	if row, listed := t.Backend(grant.Backend); listed && row.Software() != grant.Software {
		return table.Software{Unknown: true}
	}
	return grant.Software
}
