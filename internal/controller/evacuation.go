// Evacuations: the operator asks that the runners of a zone get no requests, and takes that
// back. Whether a zone is evacuated is agreed on in a register beside the leases, and goes to
// the routers with it.

package controller

import (
	"context"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/controller/singleton"
	"beechtide.org/beechtide/internal/messages"
)

// maxZoneName bounds the name of a zone, in bytes.
const maxZoneName = 128

func (c *Controller) beginEvacuation(ctx context.Context, rc *app.RequestContext) {
	c.evacuate(ctx, rc, true)
}

func (c *Controller) finishEvacuation(ctx context.Context, rc *app.RequestContext) {
	c.evacuate(ctx, rc, false)
}

// evacuate takes an order of the operator. An order that changes nothing is acknowledged by a
// round that has read the newest value.
func (c *Controller) evacuate(ctx context.Context, rc *app.RequestContext, evacuated bool) {
	zone := rc.Param("zone")
	if !c.isZone(zone) {
		httpapi.Reject(rc, 400, "zone", "no such zone")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	_, err := c.changeRegister(ctx, consensus.PartOf(zone), func(cur messages.Value) ([]messages.Member, []byte, error) {
		return evacuateZone(cur, zone, evacuated)
	})
	if err != nil && !errors.Is(err, consensus.ErrNoChange) {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	c.log.Info("evacuation acknowledged", "zone", zone, "evacuated", evacuated, "changed", err == nil)
	rc.Status(200)
}

// isZone reports whether a zone may be evacuated: one of the settings, or any name where they
// list none.
func (c *Controller) isZone(zone string) bool {
	if zone == "" || len(zone) > maxZoneName {
		return false
	}
	_, listed := c.set.Zones[zone]
	return listed || len(c.set.Zones) == 0 || zone == c.set.Zone
}

// evacuateZone records whether a zone is evacuated.
func evacuateZone(cur messages.Value, zone string, evacuated bool) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(cur)
	if err != nil {
		return nil, nil, err
	}
	i := slices.IndexFunc(body.Evacuations, func(e messages.Evacuation) bool { return e.Zone == zone })
	if i < 0 && !evacuated || i >= 0 && body.Evacuations[i].Evacuated == evacuated {
		return nil, nil, consensus.ErrNoChange
	}
	if i < 0 {
		body.Evacuations = append(body.Evacuations, messages.Evacuation{Zone: zone})
		i = len(body.Evacuations) - 1
	}
	body.Evacuations[i].Evacuated = evacuated
	body.Evacuations[i].Changes++
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}

// evacuatedZones lists the zones that are evacuated as far as this controller knows.
func (c *Controller) evacuatedZones() []string {
	var zones []string
	singleton.CommittedBodies(c.registers, func(_ int, body messages.LeaseBody) {
		for _, e := range body.Evacuations {
			if e.Evacuated {
				zones = append(zones, e.Zone)
			}
		}
	})
	slices.Sort(zones)
	return zones
}
