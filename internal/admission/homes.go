// Homes: regions whose runners alone may serve a route or a tenant.

package admission

import "slices"

// SetRegions sets the region of each zone.
func (a *Admitter) SetRegions(regions map[string]string) { a.regions = regions }

// regionAllowed reports whether a runner of a zone may serve a request. A zone whose region is not
// known is in none.
func (a *Admitter) regionAllowed(request *Request, zone string) bool {
	if !request.Bound {
		return true
	}
	region, known := a.regions[zone]
	return known && slices.Contains(request.Homes, region)
}

// Homes joins the homes of a route and a tenant: where both have some, both bind. bound is
// false where neither has any; the list may then be empty though it is bound.
func Homes(route, tenant []string) (homes []string, bound bool) {
	switch {
	case len(route) == 0:
		return tenant, len(tenant) > 0
	case len(tenant) == 0:
		return route, true
	}
	for _, region := range route {
		if slices.Contains(tenant, region) {
			homes = append(homes, region)
		}
	}
	return homes, true
}
