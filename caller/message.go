package caller

import (
	"net/http"
	"strings"

	"cuminstair.org/cuminstair"
)

// own lists the request headers that are not passed on: those of one connection (RFC 9110, section 7.6.1) and those that
// belong to the daemon.
var own = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Team": true, "Kind": true, "Deadline": true, "Ticket": true, "Request": true,
}

// message returns the request without its body.
func (s *Server) message(r *http.Request) *cuminstair.Message {
	service, path := split(r.URL.EscapedPath())
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	m := &cuminstair.Message{
		ID:      s.newID(),
		Method:  r.Method,
		Path:    path,
		Service: service,
		Kind:    r.Header.Get("Kind"),
		Team:    r.Header.Get("Team"),
		Ticket:  r.Header.Get("Ticket"),
	}
	m.Header = passed(r.Header)
	return m
}

// passed takes the headers that are not passed on out of h. The server doesn't read them again.
func passed(h http.Header) map[string][]string {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range h {
		if own[name] {
			delete(h, name)
		}
	}
	return h
}

// split returns the service and the path of /s/<service>/<path>. The path begins with a slash.
func split(escaped string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(escaped, "/s/"), "/")
	return service, "/" + path
}
