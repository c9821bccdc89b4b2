package settings

import "beechtide.org/beechtide/internal/quota"

// QuotaBounds is how far the requests of a tenant may exceed its limit; the defaults of
// package quota where the file does not say.
func (s *Settings) QuotaBounds() quota.Bounds {
	return quota.NewBounds(s.Bounds.QuotaWindowS, s.Bounds.QuotaOvershoot, s.Bounds.QuotaSlack)
}
