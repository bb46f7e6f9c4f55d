package account

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a mistake in the list of accounts that loses accounts or keys beside it, hands a key to the wrong account, or puts a
// key into a log line.
func TestOddLists(t *testing.T) {
	long := strings.Repeat("k", 8<<10)
	for name, tc := range map[string]struct {
		entries  []Entry
		keys     map[string]string // account by key; empty for no account
		problems int
	}{
		"two keys":          {[]Entry{{Account{Name: "a"}, []string{"k1", "k2"}}}, map[string]string{"k1": "a", "k2": "a", "k3": ""}, 0},
		"no keys":           {[]Entry{{Account{Name: "a"}, nil}, {Account{Name: "b"}, []string{"k"}}}, map[string]string{"k": "b", "": ""}, 0},
		"empty key":         {[]Entry{{Account{Name: "a"}, []string{"", "k"}}}, map[string]string{"": "", "k": "a"}, 1},
		"empty name":        {[]Entry{{Account{}, []string{"k1"}}, {Account{Name: "b"}, []string{"k2"}}}, map[string]string{"k1": "", "k2": "b"}, 1},
		"name of two lines": {[]Entry{{Account{Name: "a\r\nX: y"}, []string{"k1"}}, {Account{Name: "b"}, []string{"k2"}}}, map[string]string{"k1": "", "k2": "b"}, 1},
		"long name":         {[]Entry{{Account{Name: long}, []string{"k1"}}}, map[string]string{"k1": ""}, 1},
		"long key":          {[]Entry{{Account{Name: "a"}, []string{long}}}, map[string]string{long: "a", long[1:]: ""}, 0},
		"key twice in one":  {[]Entry{{Account{Name: "a"}, []string{"k", "k"}}}, map[string]string{"k": "a"}, 0},
		"key of two": {[]Entry{{Account{Name: "a"}, []string{"secret", "k1"}}, {Account{Name: "b"}, []string{"secret", "k2"}}},
			map[string]string{"secret": "", "k1": "a", "k2": "b"}, 1},
		"key of three": {[]Entry{{Account{Name: "a"}, []string{"secret"}}, {Account{Name: "b"}, []string{"secret"}}, {Account{Name: "c"}, []string{"secret"}}},
			map[string]string{"secret": ""}, 2},
		"name twice": {[]Entry{{Account{Name: "a"}, []string{"k1"}}, {Account{Name: "a"}, []string{"k2", "k1"}}}, map[string]string{"k1": "a", "k2": "a"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, problems := NewDirectory(tc.entries)
			for key, want := range tc.keys {
				a, ok := d.ByKey(key)
				is.Equal(ok, want != "")
				is.True(!ok || a.Name == want)
			}
			is.Equal(len(problems), tc.problems)
			is.True(!strings.Contains(fmt.Sprint(problems), "secret"))
		})
	}
}

// Guards against a directory that takes the wrong one of thousands of accounts.
func TestThousandsOfAccounts(t *testing.T) {
	is := is.New(t)
	const n = 5000
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = Entry{Account{Name: fmt.Sprint("a", i), Priority: i, HasPriority: true}, []string{fmt.Sprint("k", i), fmt.Sprint("l", i)}}
	}
	d, problems := NewDirectory(entries)
	is.Equal(len(problems), 0)
	is.Equal(d.Len(), n)
	for i := range n {
		a, ok := d.ByKey(fmt.Sprint("l", i))
		is.True(ok)
		is.Equal(a.Priority, i)
	}
}
