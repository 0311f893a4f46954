package explain

// cause explains a code of request_end.
type cause struct {
	// NextStep names what to examine next.
	Meaning, NextStep string
}

// causes maps the codes of request_end to their explanation; "" stands for success.
var causes = map[string]cause{
	"": {"it was answered; a status of 500 or above is the backend server's own", "the attempts, if it was slow"},
	"busy": {"no backend server could begin its answer within a quarter of its target, or complete it before its deadline (a plain service); it did not run",
		"running and ahead of other attempts then: few of both mean that a prediction is wrong"},
	"over-share": {"its account asks for much more than its share; refused unseen, it did not run",
		"the shares below: asked far above level is a flood of that account"},
	"overloaded": {"this router had no time for it, and no other took it; it did not run",
		"router_pace, router_overloaded, router_work and request_forwarded of this router"},
	"router-lost": {"it was handed on to a router that was lost before its answer began; it may have run",
		"to and reason of its request_forwarded, and forwarded_stream_ended of that router"},
	"ends-backends": {"backend servers ended while they ran this request, in this or other tries; it gets none until the time to come back",
		"the ends below: request_at_end of each of its tries, at any router"},
	"part-ends-backends": {"backend servers ended while they ran requests with a part of this prompt, which is the likeliest cause; it did not run if it was never sent",
		"the ends of the part below: part_at_end at any router, and parts in attempt_end of the requests that ran there"},
	"on-trial": {"backend servers ended while they ran this request, or others with a part of its prompt, and another try ran; it did not run",
		"the ends below, and the other try's attempt_end"},
	"servers-rest": {"every backend server of the service had refused this router and asked for rest; it did not run",
		"backend_word of this router: which ones, and for how long"},
	"no-backend": {"no backend server of the service took requests; it did not run", "the number of backend servers in the table then"},
	"no-region": {"no backend server in the regions that its route and its account allow took requests; it did not run",
		"regions of both rows in the table in force, and of the zones in this router's settings"},
	"no-version": {"no backend server of the software version that began the stream took requests; it did not run",
		"service_version of this router: when did that version go; version of the first attempt_end of the stream"},
	"stream-unknown": {"no router that replied remembers which software version began the stream, and several may have; it did not run",
		"stream_resumed of this request (asked, no_reply, mixed), and what became of the router at which the attempt named in resumes ran"},
	"stream-service": {"its route no longer leads to the service that began the stream; it did not run",
		"table_in_force before it, and model of the request named in resumes"},
	"zone-closed": {"operators have closed every zone with backend servers of the service that this router reaches; it did not run",
		"zone_closed and zone_opened of this router; yarrowctl status"},
	"no-table": {"the router had just started and knew no table; it did not run", "router_started, and the platform's reads"},
	"unknown-key": {"the table in force here has no account with the key",
		"the version in force and its age: is the key of a later version, or taken away?"},
	"no-such-path":        {"no route of the table in force here begins the path", "the version in force and its age"},
	"draining":            {"the router was stopping; it did not run", "router_leaving"},
	"deadline":            {"its deadline, or its route's time-out, passed", "first_ms of its attempts: -1 is a backend server that never answered"},
	"caller-gone":         {"the caller left", "total_ms against the caller's own time-out"},
	"backend-unreachable": {"no connection to the backend server; it did not run", "other attempts there: a crash, or a cut of this zone?"},
	"backend-broke":       {"the connection broke before an answer; it may have run", "other attempts there at that time"},
	"answer-cut":          {"the answer ended before its end; what came was passed on", "other attempts there at that time"},
	"backend-refused":     {"the backend server refused it; it did not run", "running: full by work that this fleet does not count"},
	"backend-replaced":    {"another backend server has the address; it did not run", "the backend server's entry on the platform"},
	"backend-failed":      {"the backend server failed", "other attempts there: backend_untrusted follows if it goes on"},
	"bad-answer":          {"the answer was not the backend server's own, or held bytes that were no part of it", "invalid_event of this request, and other attempts there at that time"},
	"crossed-answer":      {"the backend server answered another request", "other attempts there at that time"},
	"too-many-open":       {"the router had as many requests open as its settings allow; it did not run", "callers.max_open of the settings"},
	"bodies-full":         {"the large bodies of open requests took the memory that they may; it did not run", "request_end with a long total_ms there: callers that send slowly"},
	"body-cut":            {"the caller's body ended early or came too slowly", "the caller's network"},
	"body-too-large":      {"the body is over the table's limit", "the limits of the version in force"},
	"bad-header":          {"a header could not be read", "the caller"},
	"no-request-id":       {"the header with the request's id was missing", "the caller"},
}

var unknownCause = cause{"see docs/OPERATIONS.md", "the lines of the request"}
