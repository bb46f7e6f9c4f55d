package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// oddNumbers are entries of another writer with values that no back end has.
var oddNumbers = map[string]string{
	"port 0":             `{"service":"desk","addr":"127.0.0.1:0","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"port -1":            `{"service":"desk","addr":"127.0.0.1:-1","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"port 70000":         `{"service":"desk","addr":"127.0.0.1:70000","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"port as a name":     `{"service":"desk","addr":"127.0.0.1:http","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"address of no host": `{"service":"desk","addr":"0.0.0.0:80","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"no slots":           `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":0,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"negative slots":     `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":-4,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"slots past 64 bits": `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":99999999999999999999,"state":"ready","cold_left_ms":0,"born":1,"seq":1}`,
	"negative start":     `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":-1,"seq":1}`,
	"negative version":   `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"born":1,"seq":1,"models":[{"name":"m","version":-7}]}`,
	"number of 400 digits": `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":1` +
		strings.Repeat("0", 400) + `}`,
}

// oddBytes are entries of another writer that can't be read.
var oddBytes = map[string]string{
	"arrays 18,000 deep":   strings.Repeat("[", 18_000),
	"arrays 100,000 deep":  strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
	"objects 100,000 deep": strings.Repeat(`{"service":`, 100_000),
	"field 20,000 deep":    `{"service":"desk","addr":"127.0.0.1:9","slots":4,"state":"ready","other":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"null":                 `null`,
	"a string":             `"ready"`,
	"no JSON":              "\x00\xff\xfe{",
	"cut":                  `{"service":"desk","addr":"127.0.0.1:9`,
	"two values":           `{"service":"desk"} {"service":"desk"}`,
	"one byte":             "\x00",
}

// Guards against processes that end, or stop following the back ends, because of an entry that another writer has left among
// theirs: deeply nested, with a number too large or a port out of range. It names no back end to use; the others hold.
func TestOddEntriesNameNoBackEnd(t *testing.T) {
	is := is.New(t)
	put := func(c *cluster, round string) {
		for _, odd := range []map[string]string{oddNumbers, oddBytes} {
			for name, entry := range odd {
				c.store.Put("keyed.servers", round+" "+name, []byte(entry))
			}
		}
		c.store.Put("keyed.servers", strings.Repeat("k", 255), []byte("x"))
		c.store.Put("keyed.servers", "", []byte("x"))
	}
	c := newCluster(t, 1, 1)
	put(c, "after the start")
	late := hostedtest.NewEngine("desk-late", "desk", "a", "")
	t.Cleanup(late.Close)
	c.register(late)
	restarted := c.startInstance("instance-restarted")
	for _, m := range []*member{c.members[0], restarted} {
		c.waitUntil("the late back end is known", func() bool {
			_, known := m.directory.Backend("desk-late")
			return known && m.isReady()
		})
		var ids []string
		for _, b := range m.directory.Candidates("desk", "") {
			if b.ID != "desk-1" && b.ID != "desk-late" {
				ids = append(ids, b.ID)
			}
		}
		is.Equal(ids, nil) // back ends that no entry names
		for i := range 20 {
			r := c.call(m, http.MethodPost, fmt.Sprint("/once/", i), fmt.Sprint(m.self.ID, i), http.Header{"X-Deadline-Ms": {"2000"}}, "x")
			is.Equal(r.status, http.StatusOK)
		}
	}
}
