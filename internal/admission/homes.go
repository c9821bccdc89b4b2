// Home regions: the regions to which the requests of a route or a tenant are restricted.

package admission

import "slices"

// SetRegions sets the region of each zone.
func (a *Admitter) SetRegions(regions map[string]string) { a.regions = regions }

// regionAllowed reports whether the home regions of a request allow runners of a zone. A zone of
// unknown region is in no home region.
func (a *Admitter) regionAllowed(request *Request, zone string) bool {
	if !request.RegionRestricted {
		return true
	}
	region, known := a.regions[zone]
	return known && slices.Contains(request.HomeRegions, region)
}

// CombineHomeRegions combines the home regions of a route and a tenant. If both have home regions, the result
// is their intersection. bound is false if neither has any. If bound is true and homes is empty,
// no region is allowed.
func CombineHomeRegions(route, tenant []string) (homes []string, bound bool) {
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
