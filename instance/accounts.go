package instance

import (
	"time"

	"github.com/cicadasill/cicadasill/account"
	"github.com/cicadasill/cicadasill/platform/hosted"
)

// proofBound returns the age from which on the configuration no longer proves that a key is valid; 0 if no proof is needed.
func (i *Instance) proofBound() time.Duration {
	if s := i.settings.Accounts; s.StrictRevocation.Value {
		return account.ProofBound(milliseconds(s.RevocationMs.Value))
	}
	return 0
}

// newAccess returns the check of the keys of client accounts.
func (i *Instance) newAccess() hosted.Access {
	bound := i.proofBound()
	return hosted.NewAccess(func() account.Proof { return account.Proof{Age: i.configAge(), Bound: bound} }, i.registry)
}
