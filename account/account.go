// Package account decides which client account a request belongs to, by the keys in the operators' configuration, and whether this
// instance's copy of the configuration is fresh enough to say so.
package account

import (
	"slices"
	"strings"
	"unicode"
)

// Account is a client account.
type Account struct {
	// Name is the name under which back ends know the account. It is a valid value of an HTTP header.
	Name string
	// Priority is the urgency of the account's requests, 0 the most urgent. It replaces that of their route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Entry is an account as the configuration lists it.
type Entry struct {
	Account
	Keys []string
}

// Directory maps keys to accounts. It is immutable.
type Directory struct {
	byKey  map[string]*Account
	byName map[string]*Account
}

// Problem is a mistake in the list of accounts. Only the entry or key that it concerns is left out. It holds no key.
type Problem struct {
	// Index is the position of the entry in the list.
	Index int
	// Account is the entry's name; Other is the account that claims the same key, if the problem is one of two accounts.
	Account, Other string
	Reason         string
}

// NewDirectory returns the accounts of a list with its problems. Entries with the same name are one account, with the priority
// of the first. A key that two accounts claim belongs to neither, because requests of the one would be taken for those of the other.
func NewDirectory(entries []Entry) (*Directory, []Problem) {
	d := &Directory{byKey: map[string]*Account{}, byName: map[string]*Account{}}
	var problems []Problem
	shared := map[string]bool{}
	for i := range entries {
		entry := &entries[i]
		if reason := checkName(entry.Name); reason != "" {
			problems = append(problems, Problem{Index: i, Account: entry.Name, Reason: reason})
			continue
		}
		a := d.byName[entry.Name]
		if a == nil {
			copied := entry.Account
			a = &copied
			d.byName[entry.Name] = a
		} else {
			problems = append(problems, Problem{Index: i, Account: entry.Name, Reason: "a second entry of the account; its keys are added"})
		}
		if slices.Contains(entry.Keys, "") {
			problems = append(problems, Problem{Index: i, Account: entry.Name, Reason: "an empty key"})
		}
		for _, key := range entry.Keys {
			holder, taken := d.byKey[key]
			switch {
			case key == "":
			case taken && holder != a:
				shared[key] = true
				problems = append(problems, Problem{Index: i, Account: entry.Name, Other: holder.Name, Reason: "a key that two accounts claim belongs to neither"})
			default:
				d.byKey[key] = a
			}
		}
	}
	for key := range shared {
		delete(d.byKey, key)
	}
	return d, problems
}

// maxNameBytes bounds the name of an account, which is sent with each of its requests.
const maxNameBytes = 256

// checkName returns why a name cannot be that of an account, or an empty string.
func checkName(name string) string {
	switch {
	case name == "":
		return "no name"
	case len(name) > maxNameBytes:
		return "the name is too long"
	case strings.ContainsFunc(name, unicode.IsControl), strings.TrimSpace(name) != name:
		return "the name cannot be the value of a header"
	}
	return ""
}

// ByKey returns the account that holds a key.
func (d *Directory) ByKey(key string) (*Account, bool) {
	a, ok := d.byKey[key]
	return a, ok
}

// ByName returns the account with a name.
func (d *Directory) ByName(name string) (*Account, bool) {
	a, ok := d.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }
