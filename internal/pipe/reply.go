package pipe

import (
	"bytes"
	"net/http"
	"strconv"
)

// reply is an http.ResponseWriter that buffers the whole response, so that responses can be sent in order.
type reply struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the header map of the response.
func (p *reply) Header() http.Header {
	if p.header == nil {
		p.header = make(http.Header, 8)
	}
	return p.header
}

// WriteHeader sets the status code. Only the first call has an effect.
func (p *reply) WriteHeader(code int) {
	if p.status == 0 {
		p.status = code
	}
}

// Write appends to the body. It never fails. A handler must not modify what it writes first, which is not copied: a large
// body would take its memory twice.
func (p *reply) Write(b []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	if p.body == nil {
		p.body = b[:len(b):len(b)]
	} else {
		p.body = append(p.body, b...)
	}
	return len(b), nil
}

// maxCopiedBody bounds the body that encode copies behind the head, so that both are sent in one packet.
const maxCopiedBody = 4 << 10

// encode writes the response to b in wire format, except for a long body, which it returns. The request is nil if it could not
// be read.
func (p *reply) encode(b *bytes.Buffer, req *http.Request, closeAfter bool) (body []byte) {
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
	if bodiless || head {
		return nil
	}
	if len(p.body) > maxCopiedBody {
		return p.body
	}
	b.Write(p.body)
	return nil
}
