package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadasill/cicadasill/rollout"
)

// Limits of the processes under crowds of bodies, and the crowds.
const (
	// bodyFDs is the number of descriptors of a machine with memoryMB. It leaves room for all connections of a crowd.
	bodyFDs = 2870
	// stallTimeoutMs is the time that the configuration gives a body without progress. It is longer than patience, so that no
	// crowd ends by itself.
	stallTimeoutMs = 600_000
	// smallLimit and largeLimit are limits of a body in bytes.
	smallLimit = 1_000_000
	largeLimit = 32 << 20
	// manyBodies and fewBodies are the numbers of connections with bodies near smallLimit, and with larger ones.
	manyBodies = 300
	fewBodies  = 60
	// stepBytes is the size of the body that opens a trainer's step, noteBytes that of a release note.
	stepBytes = 14 << 20
	noteBytes = 4<<20 - 4096
	// completeDivisor gives the part of a crowd whose bodies are complete. The others stop before their last byte.
	completeDivisor = 10
	// manySizes is the number of sizes of bodies that also take the room that large ones leave.
	manySizes = 8
	// ordinaryBodyBytes is the size of the body of an ordinary request.
	ordinaryBodyBytes = 200_000
)

// framing encodes a body as a client sends it after the head.
type framing struct {
	name   string
	encode func(body []byte) encodedBody
}

// stated returns a framing with the length in the head.
func stated(name, fields string, sent func(length int) int) framing {
	return framing{name: name, encode: func(body []byte) encodedBody {
		return encodedBody{field: fmt.Sprintf("Content-Length: %d\r\n%s", len(body), fields), text: body, short: sent(len(body))}
	}}
}

// chunked returns a framing of chunks of size bytes.
func chunked(name string, size int) framing {
	return framing{name: name, encode: func(body []byte) encodedBody {
		var text bytes.Buffer
		for rest := body; len(rest) > 0; {
			n := min(size, len(rest))
			fmt.Fprintf(&text, "%x\r\n", n)
			text.Write(rest[:n])
			text.WriteString("\r\n")
			rest = rest[n:]
		}
		text.WriteString("0\r\n\r\n")
		return encodedBody{field: "Transfer-Encoding: chunked\r\n", text: text.Bytes(), short: text.Len() - len("a\r\n0\r\n\r\n")}
	}}
}

var framings = []framing{
	stated("stated length", "", func(length int) int { return length - 1 }),
	chunked("large chunks", 256<<10),
	chunked("very small chunks", 4),
	stated("nothing sent", "", func(int) int { return 0 }),
	stated("nothing sent after a question", "Expect: 100-continue\r\n", func(int) int { return 0 }),
}

// bodies is a crowd of requests with bodies of legal size. Each connection sends one request and stays open.
type bodies struct {
	conns int
	// head returns the request line and the fields of the n-th request.
	head func(n int) string
	// body returns a body of about a size. The largest ones have largest bytes.
	body    func(size int) []byte
	largest int
	// sizes is the number of sizes of the bodies that stop short. Each is half of the one before.
	sizes int
}

// encodedBody is a body with its framing.
type encodedBody struct {
	field string
	text  []byte
	// short is the length at which the text stops short of the end of the body.
	short int
}

// send sends the complete bodies and then those that stop short, the largest first. It returns a function that closes the
// connections.
func (b bodies) send(addr string, f framing) func() {
	encoded := make([]encodedBody, b.sizes)
	for n := range encoded {
		encoded[n] = f.encode(b.body(b.largest >> n))
	}
	var conns []net.Conn
	next := 0
	wave := func(count int, body encodedBody, length int) {
		first := next
		next += count
		conns = append(conns, sendAll(addr, count, func(n int) (string, []byte) { return b.head(first+n) + body.field, body.text[:length] })...)
	}
	wave(b.conns/completeDivisor, encoded[0], len(encoded[0].text))
	for _, body := range encoded {
		wave((b.conns-b.conns/completeDivisor)/b.sizes, body, body.short)
	}
	return closeAll(conns)
}

// closeAll returns a function that closes connections.
func closeAll(conns []net.Conn) func() {
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// openAll opens count connections at once and calls use with each that is accepted. It returns them when all calls have returned.
func openAll(addr string, count int, use func(n int, conn net.Conn)) []net.Conn {
	var (
		mu    sync.Mutex
		conns []net.Conn
		wg    sync.WaitGroup
	)
	for n := range count {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, writeTimeout)
			if err != nil {
				return // refused
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			use(n, conn)
		})
	}
	wg.Wait()
	return conns
}

// sendAll opens count connections and sends a head and a text on each, until all have sent everything or were refused. It
// returns the connections.
func sendAll(addr string, count int, request func(n int) (head string, text []byte)) []net.Conn {
	return openAll(addr, count, func(n int, conn net.Conn) {
		head, rest := request(n)
		part := []byte(head + "\r\n")
		for {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(part); err != nil || len(rest) == 0 {
				return
			}
			size := min(chunkBytes, len(rest))
			part, rest = rest[:size], rest[size:]
		}
	})
}

// checkBodies sends the crowd with each framing to a port of a fresh process. While the crowd stays, the ordinary requests must
// be answered.
func checkBodies(t *testing.T, start func(*testing.T) *target, port string, b bodies, ordinary ...func(*target) error) {
	for _, f := range framings {
		t.Run(f.name, func(t *testing.T) {
			tg := start(t)
			stopWatch, most := watchDescriptors(tg.process)
			closeConns := b.send(tg.ports[port], f)
			defer closeConns()
			var last error
			answered := awaitFor(tg.process, func() bool {
				last = tg.ordinary()
				for _, request := range ordinary {
					if last == nil {
						last = request(tg)
					}
				}
				return last == nil
			})
			stopWatch()
			if !tg.lives() {
				t.Fatalf("the process has ended\n%s", tg.tail())
			}
			if !answered {
				t.Errorf("no answer to an ordinary request while the crowd stays: %v", last)
			}
			tg.checkLimits(t, *most, bodyFDs)
		})
	}
}

// checkLimits fails the test if the process has taken more than its machine has.
func (tg *target) checkLimits(t *testing.T, descriptors, maxDescriptors int) {
	t.Helper()
	peak, err := tg.peakMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %.0f MB, most descriptors %d", peak, descriptors)
	if peak > memoryMB {
		t.Errorf("the process has taken %.0f MB; its machine has %d MB", peak, memoryMB)
	}
	if descriptors > maxDescriptors {
		t.Errorf("the process has had %d descriptors; its machine allows %d", descriptors, maxDescriptors)
	}
}

// awaitFor polls a condition until it is true, the process has ended or patience is over. It returns whether it became true.
func awaitFor(p *process, condition func() bool) bool {
	for end := time.Now().Add(patience); !condition(); time.Sleep(20 * time.Millisecond) {
		if !p.lives() || time.Now().After(end) {
			return false
		}
	}
	return true
}

// hostedHead returns the heads of requests to a path of an instance on the users' platform.
func hostedHead(path string) func(int) string {
	return func(n int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: crowd.example\r\nX-Request-Id: crowd-%d\r\n", path, n)
	}
}

// ownCallHead, ownStepHead and ownNoteHead return the heads of requests to the system's own interface.
func ownCallHead(n int) string {
	return fmt.Sprintf("POST /v1/services/orders/calls/book HTTP/1.1\r\nHost: own\r\nCicadasill-Key: crowd-%d\r\n", n)
}

func ownStepHead(n int) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: own\r\n", stepPath(int64(n)))
}

func ownNoteHead(int) string { return "POST /v1/note-checks HTTP/1.1\r\nHost: own\r\n" }

// filler returns a body without a meaning.
func filler(size int) []byte { return bytes.Repeat([]byte("b"), size) }

// batchJob returns the body of a batch job of about size bytes.
func batchJob(size int) []byte {
	const itemBytes = 600
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	var items []item
	for n := range size / (itemBytes*4/3 + 110) { // base64 and the other fields
		items = append(items, item{ID: fmt.Sprint("i", n), Path: "/jobs/x", Headers: map[string]string{"X-Model": "m"}, Body: filler(itemBytes), Tokens: 10, Group: "g"})
	}
	return encode(map[string]any{"model": "m", "min_version": 0, "group_count": 1, "items": items})
}

// openStep returns the body that opens a trainer's step, of about size bytes.
func openStep(size int) []byte {
	return encode(rollout.OpenRequest{Version: 1, Groups: []rollout.Group{{ID: "g", Prompt: string(filler(size)), Samples: 1, MaxTokens: 1}}})
}

// releaseNote returns a release note of about size bytes. It is invalid: a note in force would change the services.
func releaseNote(size int) []byte {
	return encode(map[string]string{"id": "n", "author": string(filler(size))})
}

func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// plainCall sends an ordinary body to a route of plain requests.
func plainCall(tg *target) error {
	header := http.Header{"X-Request-Id": {uniqueID()}, "X-Deadline-Ms": {"5000"}}
	return request(http.MethodPost, "http://"+tg.ports["clients"]+"/plain/x", "crowd.example", header, string(filler(ordinaryBodyBytes)))
}

// ownCall sends an ordinary body to a call of the system's own interface.
func ownCall(tg *target) error {
	return request(http.MethodPost, "http://"+tg.ports["http"]+"/v1/services/orders/calls/book", "", http.Header{"Cicadasill-Key": {uniqueID()}}, string(filler(ordinaryBodyBytes)))
}

// ownStep opens an ordinary step of a trainer.
func ownStep(tg *target) error {
	return request(http.MethodPut, "http://"+tg.ports["http"]+stepPath(time.Now().UnixNano()), "", nil, string(openStep(ordinaryBodyBytes)))
}

// stepPath returns the path of a trainer's step.
func stepPath(step int64) string { return fmt.Sprintf("/v1/services/lm/trainers/t/steps/%d", step) }

func uniqueID() string { return fmt.Sprint("r", time.Now().UnixNano()) }

// hostedUnder starts an instance on the users' platform whose configuration allows bodies of limit bytes.
func hostedUnder(limit int) func(*testing.T) *target {
	return func(t *testing.T) *target {
		return startHostedWith(t, hostedOptions{maxFDs: bodyFDs, maxBodyBytes: limit, idleTimeoutMs: stallTimeoutMs})
	}
}

// startOwnSmall starts an instance that serves the system's own interface on a machine with memoryMB.
func startOwnSmall(t *testing.T) *target { return startOwnWith(t, bodyFDs, smallMachine) }

// smallMachine is the variable that states the memory of the machine to programs in Go.
var smallMachine = fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB)

// Guards against bodies at the clients' port that stop short of their end, end the process or keep other bodies from being read.
func TestBodiesAtTheClientsPort(t *testing.T) {
	checkBodies(t, hostedUnder(smallLimit), "clients", bodies{conns: manyBodies, head: hostedHead("/plain/x"), body: filler, largest: smallLimit, sizes: manySizes}, plainCall)
}

// Guards against the same of bodies that are a large part of the memory.
func TestLargeBodiesAtTheClientsPort(t *testing.T) {
	checkBodies(t, hostedUnder(largeLimit), "clients", bodies{conns: fewBodies, head: hostedHead("/plain/x"), body: filler, largest: 30 << 20, sizes: manySizes}, plainCall)
}

// Guards against the same of batch jobs, some of which are accepted.
func TestJobBodiesAtTheClientsPort(t *testing.T) {
	checkBodies(t, hostedUnder(smallLimit), "clients", bodies{conns: manyBodies, head: hostedHead("/jobs/x"), body: batchJob, largest: smallLimit, sizes: manySizes}, plainCall)
}

// Guards against the same at the port of the readiness probes, whose handlers read no bodies.
func TestBodiesAtTheReadinessPort(t *testing.T) {
	checkBodies(t, hostedUnder(smallLimit), "ready", bodies{conns: manyBodies, head: hostedHead("/api/readyz"), body: filler, largest: smallLimit, sizes: manySizes}, plainCall)
}

// Guards against the same at the port of the metrics.
func TestBodiesAtTheMetricsPort(t *testing.T) {
	checkBodies(t, hostedUnder(smallLimit), "metrics", bodies{conns: manyBodies, head: hostedHead("/metrics"), body: filler, largest: smallLimit, sizes: manySizes}, plainCall)
}

// Guards against the same at the port of the other instances.
func TestBodiesAtThePeersPort(t *testing.T) {
	checkBodies(t, hostedUnder(smallLimit), "peers", bodies{conns: manyBodies, head: hostedHead("/plain/x"), body: filler, largest: smallLimit, sizes: manySizes}, plainCall)
}

// Guards against the same of callers of the system's own interface.
func TestBodiesAtTheOwnCallersPort(t *testing.T) {
	checkBodies(t, startOwnSmall, "http", bodies{conns: manyBodies, head: ownCallHead, body: filler, largest: smallLimit, sizes: 1}, ownCall)
}

// Guards against the same of trainers, some of whose steps are opened.
func TestStepBodiesAtTheOwnCallersPort(t *testing.T) {
	checkBodies(t, startOwnSmall, "http", bodies{conns: fewBodies, head: ownStepHead, body: openStep, largest: stepBytes, sizes: 1}, ownCall, ownStep)
}

// Guards against the same of announcements of weights.
func TestAnnouncementBodiesAtTheOwnCallersPort(t *testing.T) {
	head := func(int) string { return "POST /v1/services/lm/versions HTTP/1.1\r\nHost: own\r\n" }
	checkBodies(t, startOwnSmall, "http", bodies{conns: manyBodies, head: head, body: filler, largest: smallLimit, sizes: 1}, ownCall)
}

// Guards against the same at the operators' port.
func TestBodiesAtTheOwnOperatorsPort(t *testing.T) {
	checkBodies(t, startOwnSmall, "admin", bodies{conns: fewBodies, head: ownNoteHead, body: releaseNote, largest: noteBytes, sizes: 1}, ownCall)
}

// Guards against the same at the peers' port.
func TestBodiesAtTheOwnPeersPort(t *testing.T) {
	checkBodies(t, startOwnSmall, "peer", bodies{conns: manyBodies, head: hostedHead("/"), body: filler, largest: smallLimit, sizes: 1}, ownCall)
}

// Guards against limits that meet the largest request inside the limits of the pages while nobody else sends.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	step := openStep(1)
	step = openStep(rolloutLimit - len(step) + 1)
	cases := []struct {
		name         string
		start        func(*testing.T) *target
		method, path string
		port         string
		body         []byte
	}{
		{"hosted", hostedUnder(largeLimit), http.MethodPost, "/plain/x", "clients", filler(largeLimit)},
		{"own call", startOwnSmall, http.MethodPost, "/v1/services/orders/calls/book", "http", filler(1 << 20)},
		{"own step", startOwnSmall, http.MethodPut, stepPath(1), "http", step},
	}
	for _, c := range cases {
		for _, withLength := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stated length %v", c.name, withLength), func(t *testing.T) {
				tg := c.start(t)
				status, err := sendBody(c.method, "http://"+tg.ports[c.port]+c.path, c.body, withLength)
				if err != nil || status != http.StatusOK {
					t.Errorf("status %d, error %v", status, err)
				}
				if !tg.lives() {
					t.Fatalf("the process has ended\n%s", tg.tail())
				}
				tg.checkLimits(t, 0, bodyFDs)
			})
		}
	}
}

// rolloutLimit is the limit in bytes of a trainer's body (docs/operators/rollouts.md).
const rolloutLimit = 15 << 20
