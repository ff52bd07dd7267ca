package caller

import (
	"net/http"
	"strings"

	"cuminstair.org/cuminstair"
)

// notForwarded lists the request headers that are not sent to the upstream: those of one connection (RFC 9110, section
// 7.6.1) and those that the daemon itself reads.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Team": true, "Kind": true, "Deadline": true, "Ticket": true, "Request": true,
}

// message returns the request without its body.
func (s *Server) message(r *http.Request) *cuminstair.Message {
	service, path := splitPath(r.URL.EscapedPath())
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
	m.Header = forwardedHeaders(r.Header)
	return m
}

// forwardedHeaders removes from h the headers that are not sent to the upstream, and returns h. The server doesn't read
// the removed ones again.
func forwardedHeaders(h http.Header) map[string][]string {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range h {
		if notForwarded[name] {
			delete(h, name)
		}
	}
	return h
}

// splitPath returns the service and the path of /s/<service>/<path>. The path begins with a slash.
func splitPath(escaped string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(escaped, "/s/"), "/")
	return service, "/" + path
}
