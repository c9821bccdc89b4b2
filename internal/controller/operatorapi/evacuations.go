package operatorapi

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/evacuation"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/precondition"
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

// evacuate commits an order for a zone. One that would revert an earlier order is confirmed by its caller
// first. Every acknowledged order is committed, also one that changes nothing, so that it precedes orders
// that arrive late.
func (s *Service) evacuate(ctx context.Context, rc *app.RequestContext, evacuated bool) {
	order := evacuation.Order{Zone: rc.Param("zone"), Evacuated: evacuated, After: confirmedNumber(rc)}
	if !s.isKnownZone(order.Zone) {
		httpapi.Reject(rc, 400, "zone", "no such zone")
		return
	}
	log := s.config.Log.WithValues("zone", order.Zone, "evacuated", evacuated, "after", order.After, "caller", rc.RemoteAddr())
	log.Info("evacuation ordered")
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	committed, err := s.config.Registers.Change(ctx, consensus.RegisterOf(order.Zone), func(cur messages.Value) ([]messages.Member, []byte, error) {
		return applyEvacuation(cur, order)
	})
	log = log.WithValues("took", time.Since(begun), "registerVersion", committed.Version)
	var unconfirmed *precondition.RequiredError
	switch {
	case errors.As(err, &unconfirmed):
		log.Info("evacuation to be confirmed", "newest", unconfirmed.Newest)
		s.askForConfirmation(rc, unconfirmed)
	case err != nil:
		log.Info("evacuation not acknowledged", "reason", err.Error())
		httpapi.Reject(rc, 503, "", err.Error())
	default:
		log.Info("evacuation acknowledged")
		rc.Status(200)
	}
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

// applyEvacuation applies an order to the current value of the register.
func applyEvacuation(current messages.Value, order evacuation.Order) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeLeaseBody(current)
	if err != nil {
		return nil, nil, err
	}
	if body.Evacuations, err = evacuation.Apply(body.Evacuations, order); err != nil {
		return nil, nil, err
	}
	b, err := body.MarshalMsg(nil)
	return nil, b, err
}
