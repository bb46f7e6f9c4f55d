package demo

import "github.com/cicadasill/cicadasill/entry"

// NewEntry builds an entry instance of package entry.
func NewEntry(c InstanceConfig) (Instance, error) {
	return entry.New(entry.Config{
		Self: c.Self, Deployment: c.Deployment, AdminAddr: c.AdminAddr, LogAddr: c.LogAddr, ListAddr: c.ListAddr,
		DialContext: c.DialContext, Logger: c.Logger, Registry: c.Registry, BalancerDelay: c.BalancerDelay,
	})
}
