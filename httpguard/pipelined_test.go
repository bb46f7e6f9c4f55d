package httpguard

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/flood"
)

// Guards against two framings that are taken for one because the head was pipelined and its first lines, with the length, were read
// with the request before.
func TestTwoFramingsInAPipelinedHead(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{}, flood.Limits{})
	conn := g.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n")
	is.NoErr(err)
	answers := bufio.NewReader(conn)
	first, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, first.Body)
	is.Equal(first.StatusCode, http.StatusOK)
	_, err = io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	is.NoErr(err)
	second, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, second.Body)
	is.True(second.StatusCode == http.StatusBadRequest || second.Close) // what follows may be meant as part of this request
}
