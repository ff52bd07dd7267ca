package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"cuminstair.org/cuminstair"
)

// skippedHeaders lists the headers of a message that are not written: those of one connection and those that the daemon
// sets itself.
var skippedHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Host": true, "Trailer": true, "Transfer-Encoding": true,
	"Request": true, "Team": true, "Deadline": true,
}

// withBody lists the methods whose requests carry Content-Length even without a body (RFC 9110, section 8.6).
var withBody = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

// writeRequest writes a request without http.Request.Write, which costs about ten allocations. If the error is
// errMalformed, nothing was written.
func writeRequest(w *bufio.Writer, addr string, m *cuminstair.Message) error {
	target, err := url.ParseRequestURI(m.Path)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	// A method is a token like the name of a header (RFC 9110, section 9.1). CONNECT would turn the connection into a tunnel.
	if !httpguts.ValidHeaderFieldName(m.Method) || m.Method == http.MethodConnect {
		return fmt.Errorf("%w: method %q", errMalformed, m.Method)
	}
	_, _ = w.WriteString(m.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(target.RequestURI())
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeHeader(w, "Host", addr)
	writeHeader(w, "Request", m.ID)
	writeHeader(w, "Team", m.Team)
	writeHeader(w, "Deadline", m.Timeout.String())
	for name, values := range m.Header {
		name = http.CanonicalHeaderKey(name)
		if skippedHeaders[name] || !httpguts.ValidHeaderFieldName(name) {
			continue
		}
		for _, value := range values {
			writeHeader(w, name, value)
		}
	}
	if len(m.Body) > 0 || withBody[m.Method] {
		writeHeader(w, "Content-Length", strconv.Itoa(len(m.Body)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(m.Body)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// lineEnds replaces line breaks in a value by spaces, as http.Header.Write does.
var lineEnds = strings.NewReplacer("\r", " ", "\n", " ")

// writeHeader writes one header line. w keeps a write error until Flush returns it.
func writeHeader(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	if strings.ContainsAny(value, "\r\n") {
		value = lineEnds.Replace(value)
	}
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}
