package crowd

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Targets of the processes. The bounds of the tests are these limits of the machine.
const (
	// memoryMB is the memory of the smallest machine of a deployment. A process that takes more is killed there.
	memoryMB = 136
	// maxFDs is the number of descriptors that the settings allow a process.
	maxFDs = 600
)

// patience ends a test whose process hangs. No check depends on it otherwise.
const patience = 60 * time.Second

// daemonPath is the path of the built daemon; TestMain sets it.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonPath = filepath.Join(dir, "cicadasilld")
	if out, err := exec.Command("go", "build", "-o", daemonPath, "../../cmd/cicadasilld").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Addresses of the processes, see package soak: a loopback address that is derived from the process id of this test.
const (
	loopbackNet = 127
	addrBit     = 1 << 23
	firstPort   = 7000
)

var portCount atomic.Int32

// uniqueAddr returns an address that no other program on this machine uses.
func uniqueAddr() string {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], addrBit|uint32(os.Getpid()))
	ip[0] = loopbackNet
	return net.JoinHostPort(net.IP(ip[:]).String(), strconv.Itoa(firstPort+int(portCount.Add(1))))
}

// process is a process of the system that the test has started.
type process struct {
	command *exec.Cmd
	log     string
	exited  chan struct{}
}

// processOptions are what the operating system gives a process.
type processOptions struct {
	fds int      // the number of descriptors that it allows; 0 leaves the limit as it is
	env []string // variables beside those of the test
}

// startProcess starts the daemon with arguments and a settings file, and kills it at the end of the test.
func startProcess(t *testing.T, settings string, opts processOptions, args ...string) *process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	logFile, err := os.Create(filepath.Join(dir, "process.log"))
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(daemonPath, append(args, "--settings", path)...)
	if opts.fds > 0 {
		shell := []string{"-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(opts.fds)}
		command = exec.Command("sh", append(shell, command.Args...)...)
	}
	command.Env = append(os.Environ(), opts.env...)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{command: command, log: logFile.Name(), exited: make(chan struct{})}
	go func() {
		_ = command.Wait() // its status does not matter: the test kills it
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // an error means that it has ended
		<-p.exited
		_ = logFile.Close()
	})
	return p
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMB returns the peak of the resident memory of the process in megabytes.
func (p *process) peakMB() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kb float64
			_, err := fmt.Sscan(value, &kb)
			return kb / 1024, err
		}
	}
	return 0, errors.New("no VmHWM")
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries), err
}

// tail returns the last lines of the log of the process.
func (p *process) tail() string {
	const length = 2000
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-length):])
}

// await polls a condition until it is true and fails the test if it does not become true.
func await(t *testing.T, p *process, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); {
		if !p.lives() {
			t.Fatalf("the process has ended before: %s\n%s", what, p.tail())
		}
		if time.Now().After(end) {
			t.Fatalf("not reached: %s\n%s", what, p.tail())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
