package pipe

import (
	"bytes"
	"net/http"
	"strconv"
)

// reply is the answer of a handler, held in full so that answers can be written in order.
type reply struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the headers of the answer.
func (p *reply) Header() http.Header {
	if p.header == nil {
		p.header = make(http.Header, 8)
	}
	return p.header
}

// WriteHeader sets the status; the first call counts.
func (p *reply) WriteHeader(code int) {
	if p.status == 0 {
		p.status = code
	}
}

// Write adds to the body.
func (p *reply) Write(b []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	p.body = append(p.body, b...)
	return len(b), nil
}

// encode writes the answer as it goes on the connection; req is nil for a request that was not read.
func (p *reply) encode(b *bytes.Buffer, req *http.Request, closeAfter bool) {
	p.WriteHeader(http.StatusOK)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(p.status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(p.status))
	b.WriteString("\r\n")
	for name, values := range p.header {
		if name == "Content-Length" || name == "Connection" {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	bodiless := p.status == http.StatusNoContent || p.status == http.StatusNotModified
	head := req != nil && req.Method == http.MethodHead
	if !bodiless && !head {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(p.body)))
		b.WriteString("\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	} else if req != nil && !req.ProtoAtLeast(1, 1) {
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	if !bodiless && !head {
		b.Write(p.body)
	}
}
