package settings

import "beechtide.org/beechtide/internal/quota"

// QuotaBounds returns the bounds on how far the requests of a tenant may exceed its limit.
// If the window is not set, package quota's defaults replace all three values.
func (s *Settings) QuotaBounds() quota.Bounds {
	return quota.NewBounds(s.Bounds.QuotaWindowS, s.Bounds.QuotaOvershoot, s.Bounds.QuotaSlack)
}
