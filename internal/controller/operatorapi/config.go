package operatorapi

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/controller/httpapi"
	"beechtide.org/beechtide/internal/messages"
	"beechtide.org/beechtide/internal/routeconfig"
)

// ReplaceConfig serves the operator's call that replaces the configuration. A submission that this
// controller knows to be accepted already is acknowledged at once, as a committed change remains
// committed. Any other one is decided in a round of the register.
func (s *Service) ReplaceConfig(ctx context.Context, rc *app.RequestContext) {
	if version, ok := s.alreadyAccepted(rc.Request.Body()); ok {
		s.acknowledged.Advance(version)
		rc.JSON(200, map[string]int64{"version": version})
		return
	}
	submission := readSubmission(rc)
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := s.checkRetiredWeights(ctx, &submission); err != nil {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	v, err := s.config.Registers.Change(ctx, consensus.ConfigRegister, func(cur messages.Value) ([]messages.Member, []byte, error) {
		return applySubmission(cur, submission)
	})
	var bad *routeconfig.InvalidError
	switch {
	case err == nil, errors.Is(err, routeconfig.ErrAlreadyAccepted):
		s.checkAcknowledged(submission.Version, v)
		rc.JSON(200, map[string]int64{"version": submission.Version})
	case errors.Is(err, routeconfig.ErrVersionConflict):
		httpapi.Reject(rc, 412, "Beechtide-Base-Version", "another version is in place")
	case errors.As(err, &bad):
		rejectInvalid(rc, err)
	default:
		s.config.Log.Error(err, "configuration change failed or its outcome is unknown", "version", submission.Version)
		httpapi.Reject(rc, 503, "", err.Error())
	}
}

func readSubmission(rc *app.RequestContext) routeconfig.Submission {
	submission := routeconfig.ParseSubmission(append([]byte{}, rc.Request.Body()...))
	base, err := strconv.ParseInt(string(rc.GetHeader("Beechtide-Base-Version")), 10, 64)
	submission.Base = base
	if err == nil {
		return submission
	}
	submission.Base = -1
	if submission.ValidationErr == nil {
		submission.ValidationErr = &routeconfig.InvalidError{Field: "Beechtide-Base-Version", Reason: "not a version"}
	}
	return submission
}

func (s *Service) alreadyAccepted(raw []byte) (version int64, ok bool) {
	known, ok := s.config.Registers.Committed(consensus.ConfigRegister)
	if !ok {
		return 0, false
	}
	body, err := messages.DecodeConfigBody(known)
	if err != nil {
		return 0, false
	}
	return routeconfig.AcceptedVersion(body, raw)
}

// applySubmission applies a submission to the current value of the register. A rejection by checks that
// another version of the program may not have is sealed.
func applySubmission(current messages.Value, submission routeconfig.Submission) ([]messages.Member, []byte, error) {
	body, err := messages.DecodeConfigBody(current)
	if err != nil {
		return nil, nil, err
	}
	next, err := submission.Apply(body)
	if err != nil && submission.AcceptableWithOtherChecks(body) {
		return nil, nil, consensus.SealRejection(err)
	}
	if err != nil {
		return nil, nil, err
	}
	b, err := next.MarshalMsg(nil)
	return nil, b, err
}

func rejectInvalid(rc *app.RequestContext, err error) {
	var bad *routeconfig.InvalidError
	if errors.As(err, &bad) {
		httpapi.Reject(rc, 400, bad.Field, bad.Reason)
		return
	}
	httpapi.Reject(rc, 400, httpapi.BodyField, err.Error())
}

// ReadConfig serves the call that returns the newest configuration, read from a majority.
func (s *Service) ReadConfig(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	acknowledged := s.acknowledged.Load()
	v, err := s.config.Registers.Read(ctx, consensus.ConfigRegister)
	if err != nil {
		httpapi.Reject(rc, 503, "", err.Error())
		return
	}
	body, err := messages.DecodeConfigBody(v)
	switch {
	case err != nil:
		httpapi.Reject(rc, 500, "", err.Error())
	case body.Version == 0:
		httpapi.Reject(rc, 404, "", "no configuration yet")
	default:
		checkRead(body.Version, acknowledged)
		rc.Data(200, "application/json", body.Raw)
	}
}
