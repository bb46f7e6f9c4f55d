package crowd

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// A crowd that does not read its answers.
const (
	unreadConns = 100
	// answerBytes is the size of an answer. It is larger than what the operating system holds for a connection.
	answerBytes = 6 << 20
	// clientBuffer is the size in bytes of a client's receive buffer.
	clientBuffer = 4 << 10
	// answerPause is the time between two requests of the crowd, in which a back end can answer.
	answerPause = 20 * time.Millisecond
)

// requestAnswers sends a request on each of the connections and reads no answers. It returns a function that closes them.
func requestAnswers(addr string) func() {
	var conns []net.Conn
	head := hostedHead("/plain/x")
	for n := range unreadConns {
		conn, err := net.DialTimeout("tcp", addr, writeTimeout)
		if err != nil {
			continue // refused
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(clientBuffer)
		conns = append(conns, conn)
		_, _ = fmt.Fprintf(conn, "%s\r\n", head(n)) // refused if this fails
		time.Sleep(answerPause)
	}
	return closeAll(conns)
}

// Guards against answers that clients do not read and that together take the memory.
func TestUnreadAnswersAtTheClientsPort(t *testing.T) {
	tg := startHostedWith(t, hostedOptions{maxFDs: bodyFDs, maxBodyBytes: smallLimit, idleTimeoutMs: stallTimeoutMs, answerBytes: answerBytes})
	stopWatch, most := watchDescriptors(tg.process)
	closeConns := requestAnswers(tg.ports["clients"])
	defer closeConns()
	await(t, tg.process, "an ordinary request is answered while the crowd stays", func() bool { return tg.ordinary() == nil })
	stopWatch()
	if !tg.lives() {
		t.Fatalf("the process has ended\n%s", tg.tail())
	}
	tg.checkLimits(t, *most, bodyFDs)
}

// A crowd that reads no answers of requests that it sends one behind the other.
const (
	// pipelinedConns is above the connections that an instance with maxFDs keeps.
	pipelinedConns = 300
	// pipelinedRequests are more than the operating system holds for a connection, as are their answers: the crowd ends when its writes
	// time out.
	pipelinedRequests    = 100_000
	pipelinedAnswerBytes = 30_000
)

// Guards against small answers that clients do not read and that keep the places of ordinary callers.
func TestPipelinedAnswersAtTheClientsPort(t *testing.T) {
	tg := startHostedWith(t, hostedOptions{maxFDs: maxFDs, maxBodyBytes: smallLimit, idleTimeoutMs: stallTimeoutMs, answerBytes: pipelinedAnswerBytes})
	stopWatch, most := watchDescriptors(tg.process)
	head := hostedHead("/plain/x")
	var text strings.Builder
	for n := range pipelinedRequests {
		text.WriteString(head(n) + "\r\n")
	}
	conns := sendAll(tg.ports["clients"], pipelinedConns, func(n int) (string, []byte) { return head(n), []byte(text.String()) })
	defer closeAll(conns)()
	await(t, tg.process, "an ordinary request is answered while the crowd stays", func() bool { return tg.ordinary() == nil })
	stopWatch()
	if !tg.lives() {
		t.Fatalf("the process has ended\n%s", tg.tail())
	}
	tg.checkLimits(t, *most, maxFDs)
}
