package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// sendersEnv is the address of the store in the environment of the process that runs the senders.
const sendersEnv = "CICADASILL_SOAK_SENDERS"

// Commands to the process that runs the senders, one a line. callCommand is followed by the instance's address.
const (
	callCommand   = "call"
	faultyCommand = "faulty"
	soundCommand  = "sound"
)

// endlessForm is a form of an answer without end: start, and then part again and again. %s in start is replaced by the
// headers that make an answer belong to its request.
type endlessForm struct{ start, part string }

const (
	chunkedHead = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
	plainHead   = "HTTP/1.1 200 OK\r\n%s\r\n"
)

// endlessForms are answers to any call.
var endlessForms = []endlessForm{
	{"HTTP/1.1 200 ", "O"},
	{"HTTP/1.1 200 OK\r\n%sX-Filler: ", "x"},
	{"HTTP/1.1 200 OK\r\n%s", "X-Filler: x\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"", "garbage"},
	{plainHead, "x"},
	{plainHead, " "},
	{"HTTP/1.1 200 OK\r\n%sContent-Length: 9000000000000000000\r\n\r\n", "x"},
	{chunkedHead, "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
	{chunkedHead + "1;", "x"},
	{chunkedHead + "0\r\n", "X-Filler: x\r\n"},
	{chunkedHead, "1\r\n \r\n"},
}

// endlessStreams are answers to an item or a streamed request. A part is an event if it is empty.
var endlessStreams = []endlessForm{
	{plainHead, ""},
	{plainHead, "id: 1\ndata: x\n\n"},
	{plainHead, "id: 1\ndata: \n"},
	{plainHead + "id: 1\ndata: ", "x"},
	{plainHead, ": x\n"},
	{plainHead, "\n"},
}

// send sends the answer to r until the caller closes. eventBytes is the size of an event's text.
func (f endlessForm) send(w http.ResponseWriter, r *http.Request, eventBytes int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := "X-Server-Stamp: stamp\r\n"
	if id := r.Header.Get("X-Request-Id"); id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	_, err = io.WriteString(conn, strings.Replace(f.start, "%s", head, 1))
	repeated := bytes.Repeat([]byte(f.part), 1+(32<<10)/(len(f.part)+1))
	text := strings.Repeat("x", eventBytes)
	for n := 1; err == nil; n++ {
		if f.part == "" {
			_, err = fmt.Fprintf(conn, "id: %d\nx-weight-versions: %d\ndata: %s\n\n", n, n, text)
			continue
		}
		_, err = conn.Write(repeated)
	}
}

// faultyHandler gives endless answers to the calls that selected returns true for, and passes the others on.
func faultyHandler(sound http.Handler, selected func(*http.Request) bool, shift int) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !selected(r) {
			sound.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		forms := endlessForms
		if r.Header.Get("X-Model") != "" || strings.HasPrefix(r.URL.Path, "/badstream/") {
			forms = append(append([]endlessForm(nil), endlessStreams...), endlessForms...)
		}
		n := int(count.Add(1)) + shift
		forms[n%len(forms)].send(w, r, []int{0, 100, 60000}[n%3])
	})
}

// faultyEngine returns the entry of an engine whose answers have no end. Half of the engines answer reports.
func faultyEngine(t *testing.T, n int, service, model string) (id string, entry []byte) {
	e := hostedtest.NewEngine(fmt.Sprintf("%s-%d", service, n), service, "a", model)
	t.Cleanup(e.Close)
	front := httptest.NewServer(faultyHandler(e.Config.Handler, func(r *http.Request) bool {
		return n%2 == 0 || r.URL.Path != "/api/report"
	}, n))
	t.Cleanup(func() { front.CloseClientConnections(); front.Close() })
	return e.ID, e.EntryAt("ready", front.Listener.Addr().String())
}

// callSlowly sends a request on a connection of its own and reads a few bytes of its answer every pause, or nothing if that
// is longer than the wait. A pause of 0 reads all.
func callSlowly(ctx context.Context, addr, path string, pause time.Duration) {
	const wait = 4 * time.Second
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", path, host, path[1:4], rand.Int())
	buffer := make([]byte, 512)
	for ctx.Err() == nil {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// sendersReport is what the process that runs the senders writes when all of them listen.
type sendersReport struct {
	Store   string            `json:"store"`
	Entries map[string][]byte `json:"entries"`
}

// senders are back ends and a front of the store whose answers have no end, and their callers. They run in a process of their
// own: the sound back ends and clients of the test's process would otherwise wait for a core behind them.
type senders struct {
	t       *testing.T
	store   string
	entries map[string][]byte
	in      io.WriteCloser
}

// startSenders starts the senders in front of a store. They end with the test.
func startSenders(t *testing.T, store string) *senders {
	is := is.New(t)
	command := exec.Command(os.Args[0], "-test.run", "^TestSenders$")
	command.Env = append(os.Environ(), sendersEnv+"="+store)
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	is.NoErr(err)
	out, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	t.Cleanup(func() {
		_ = in.Close()
		_, _ = io.Copy(io.Discard, out)
		if err := command.Wait(); err != nil {
			t.Errorf("the senders' process: %v", err)
		}
	})
	var report sendersReport
	is.NoErr(json.NewDecoder(out).Decode(&report))
	return &senders{t: t, store: report.Store, entries: report.Entries, in: in}
}

// command sends a command to the senders.
func (s *senders) command(format string, args ...any) {
	if _, err := fmt.Fprintf(s.in, format+"\n", args...); err != nil {
		s.t.Error(err)
	}
}

// TestSenders is the process that startSenders starts. It ends with its input.
func TestSenders(t *testing.T) {
	store := os.Getenv(sendersEnv)
	if store == "" {
		t.Skip("runs the senders of another test")
	}
	is := is.New(t)
	var storeFaulty atomic.Bool
	var storeCalls atomic.Int64
	storeFront := httptest.NewServer(faultyHandler(passOn(store), func(*http.Request) bool {
		return storeFaulty.Load() && storeCalls.Add(1)%4 != 0
	}, 0))
	defer func() { storeFront.CloseClientConnections(); storeFront.Close() }()
	report := sendersReport{Store: storeFront.Listener.Addr().String(), Entries: map[string][]byte{}}
	for n := range len(endlessForms) {
		id, entry := faultyEngine(t, n, "deskbad", "")
		report.Entries[id] = entry
		id, entry = faultyEngine(t, n, "llmbad", "n")
		report.Entries[id] = entry
	}
	is.NoErr(json.NewEncoder(os.Stdout).Encode(report))

	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		switch command, addr, _ := strings.Cut(commands.Text(), " "); command {
		case callCommand:
			callBad(ctx, &calls, addr)
		default:
			storeFaulty.Store(command == faultyCommand)
		}
	}
	is.NoErr(commands.Err())
}

// passOn passes calls on to a server. It cuts the connection of a call that the server does not answer.
func passOn(addr string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.Clone(r.Context())
		call.RequestURI, call.URL.Scheme, call.URL.Host = "", "http", addr
		response, err := http.DefaultTransport.RoundTrip(call)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		maps.Copy(w.Header(), response.Header)
		w.WriteHeader(response.StatusCode)
		if _, err := io.Copy(w, response.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// callBad calls the routes of the senders at an instance until ctx ends.
func callBad(ctx context.Context, calls *sync.WaitGroup, addr string) {
	bad := func(path string, read time.Duration) {
		every(ctx.Done(), 100*time.Millisecond, func() { callSlowly(ctx, addr, path, read) })
	}
	for n := range 48 {
		calls.Go(func() { bad(fmt.Sprintf("/badplain/%d", n), 0) })
	}
	for n := range 24 {
		calls.Go(func() { bad(fmt.Sprintf("/badstream/%d", n), time.Duration(n%3)*200*time.Millisecond) })
	}
}
