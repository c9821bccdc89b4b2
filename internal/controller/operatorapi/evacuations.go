package operatorapi

import (
	"context"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/messages"
)

// maxZoneNameBytes is the maximum length of a zone's name, in bytes.
const maxZoneNameBytes = 128

// BeginEvacuation serves the call after which the runners of a zone get no requests.
func (s *Service) BeginEvacuation(ctx context.Context, rc *app.RequestContext) {
	s.evacuate(ctx, rc, true)
}

// FinishEvacuation serves the call that reverts BeginEvacuation.
func (s *Service) FinishEvacuation(ctx context.Context, rc *app.RequestContext) {
	s.evacuate(ctx, rc, false)
}

// evacuate commits whether a zone is evacuated. A call that changes nothing is acknowledged after a
// round that has read the newest value.
func (s *Service) evacuate(ctx context.Context, rc *app.RequestContext, evacuated bool) {
	zone := rc.Param("zone")
	if !s.isKnownZone(zone) {
		httpapi.Reject(rc, 400, "zone", "no such zone")
		return
	}
	log := s.config.Log.WithValues("zone", zone, "evacuated", evacuated, "caller", rc.RemoteAddr())
	log.Info("evacuation ordered")
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	committed, err := s.config.Registers.Change(ctx, consensus.RegisterOf(zone), func(cur messages.Value) ([]messages.Member, []byte, error) {
		return evacuateZone(cur, zone, evacuated)
	})
	log = log.WithValues("took", time.Since(begun), "registerVersion", committed.Version)
	if err != nil && !errors.Is(err, consensus.ErrNoChange) {
		log.Info("evacuation not acknowledged", "reason", err.Error())
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	log.Info("evacuation acknowledged", "changed", err == nil)
	rc.Status(200)
}

// isKnownZone reports whether a zone may be evacuated: the own zone, one that the settings list, or any
// name if they list none.
func (s *Service) isKnownZone(zone string) bool {
	if zone == "" || len(zone) > maxZoneNameBytes {
		return false
	}
	_, listed := s.config.Zones[zone]
	return listed || len(s.config.Zones) == 0 || zone == s.config.Zone
}

// evacuateZone records in the current value of the register whether a zone is evacuated.
func evacuateZone(current messages.Value, zone string, evacuated bool) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(current)
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
