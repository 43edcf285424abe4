package httpsend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// TestInvalidStatusIsNoResponse guards against a response whose status is none of HTTP's and that counts as
// an answer, and against its connection being used for another request.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for status, valid := range map[string]bool{"000": false, "001": false, "099": false, "-00": false, "+20": false, "+99": false, "200": true, "599": true, "600": false, "999": false} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			closed := make(chan error, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r := bufio.NewReader(conn)
				_, _ = http.ReadRequest(r) // the client notices whatever fails here
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 4\r\n\r\nbody", status)
				_, err = r.ReadByte()
				closed <- err
			}()
			resp, err := httpsend.Do(httpsend.NewClient(httpsend.Options{}), get(t, "http://"+l.Addr().String()))
			if valid {
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				return
			}
			assert.ErrorIs(t, err, httpsend.ErrMaybeSent)
			assert.Assert(t, <-closed != nil, "the connection is open")
		})
	}
}
