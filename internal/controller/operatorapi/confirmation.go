// Orders that name no base are confirmed by their callers before they may revert an earlier order
// (package precondition): the response is a redirect to the same call with the number of the newest order,
// which only a caller that still waits follows.

package operatorapi

import (
	"net/netip"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"beechtide.org/beechtide/internal/precondition"
)

// afterParameter is the query parameter with the number of the newest order that the caller was told of.
const afterParameter = "after"

// confirmedNumber returns the number that a call names, precondition.Unconfirmed if it names none.
func confirmedNumber(rc *app.RequestContext) precondition.Number {
	number, err := strconv.ParseInt(rc.Query(afterParameter), 10, 64)
	if err != nil || number < 0 {
		return precondition.Unconfirmed
	}
	return number
}

// askForConfirmation redirects the caller to the same call after the newest order.
func (s *Service) askForConfirmation(rc *app.RequestContext, required *precondition.RequiredError) {
	location := "http://" + s.addressFor(rc) + string(rc.Path()) + "?" + afterParameter + "=" + strconv.FormatInt(required.Newest, 10)
	rc.Response.Header.Set(consts.HeaderLocation, location)
	rc.Status(consts.StatusTemporaryRedirect)
}

// addressFor returns the address at which the caller has reached this controller. It may differ from
// the own control address, behind a proxy.
func (s *Service) addressFor(rc *app.RequestContext) string {
	host := string(rc.Host())
	if _, err := netip.ParseAddrPort(host); err == nil {
		return host
	}
	return s.config.Control
}
