// Evacuations of a zone: an operator that begins and ends them in series, repeats its orders, and whose
// given-up orders arrive late.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"beechtide.org/beechtide/internal/loop"
)

const (
	orderTimeout = time.Second // callers go on to another controller after a second of silence
	orderPause   = 200 * time.Millisecond
	// minEvacuation and maxEvacuation bound how long a zone stays evacuated while faults are played.
	minEvacuation = 500 * time.Millisecond
	maxEvacuation = 8 * time.Second
	// calmEvacuation is how long a zone stays evacuated in calm: long enough for requests beyond the bound.
	calmEvacuation = (evacuateMs+1000)*time.Millisecond + evacuationSlack
	// calmReturn is how long the load goes on after the zone is back in use.
	calmReturn = 5 * time.Second
)

// evacuationOrder is the path of an order for a zone.
type evacuationOrder string

func beginEvacuation(zone string) evacuationOrder {
	return evacuationOrder("/api/Evacuate.Begin/" + zone)
}

func finishEvacuation(zone string) evacuationOrder {
	return evacuationOrder("/api/Evacuate.Finish/" + zone)
}

// Evacuation is the period in which a zone was evacuated.
type Evacuation struct {
	Zone         string
	Acknowledged time.Time
	Ended        time.Time // when the order to take it back was first sent
	Returned     time.Time // when that was acknowledged; zero if it was not
	Calm         bool      // no fault was played
}

// EvacuationEvidence holds the observations of evacuations.
type EvacuationEvidence struct {
	Evacuations []Evacuation
	RunnerZones map[string]string // zone of each runner, by ID
}

// evacuator is the operator that evacuates a zone.
type evacuator struct {
	cluster  *cluster
	recorder *recorder
	zone     string
	random   *rand.Rand
	client   http.Client
}

// newEvacuator returns an evacuator of the second zone, so that runners are left in the first one.
func newEvacuator(c *cluster, r *recorder, seed uint64, zones int) *evacuator {
	return &evacuator{
		cluster: c, recorder: r, zone: zoneOf(1, zones), random: rand.New(rand.NewPCG(seed, 2)),
		client: http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run evacuates the zone again and again until ctx ends, and takes the last evacuation back.
func (e *evacuator) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := minEvacuation + time.Duration(e.random.Int64N(int64(maxEvacuation-minEvacuation)))
		e.evacuate(ctx, pause, false)
		loop.Pause(ctx, minEvacuation)
	}
}

// playCalm evacuates the zone once while nothing is faulty.
func (e *evacuator) playCalm(ctx context.Context) {
	e.evacuate(ctx, calmEvacuation, true)
	loop.Pause(ctx, calmReturn)
}

// evacuate evacuates the zone for some time. The opposite order of each acknowledged one arrives late, at
// every controller, and the acknowledged one is repeated at another controller.
func (e *evacuator) evacuate(ctx context.Context, period time.Duration, calm bool) {
	begin, finish := beginEvacuation(e.zone), finishEvacuation(e.zone)
	evacuation := Evacuation{Zone: e.zone, Calm: calm, Acknowledged: e.order(begin)}
	if evacuation.Acknowledged.IsZero() {
		return
	}
	e.deliverLate(finish)
	e.post(begin)
	loop.Pause(ctx, period)
	evacuation.Ended = time.Now()
	evacuation.Returned = e.order(finish)
	e.deliverLate(begin)
	e.post(finish)
	e.recorder.update(func(evidence *Evidence) { evidence.Evacuations = append(evidence.Evacuations, evacuation) })
}

// order sends an order to random controllers until it is acknowledged, and returns when it was; zero if it
// was not within changeRetryTime.
func (e *evacuator) order(order evacuationOrder) (acknowledged time.Time) {
	for giveUp := time.Now().Add(changeRetryTime); time.Now().Before(giveUp); time.Sleep(orderPause) {
		if e.post(order) == http.StatusOK {
			return time.Now()
		}
	}
	return time.Time{}
}

// post sends an order to a random controller and returns the status; 0 without an answer.
func (e *evacuator) post(order evacuationOrder) (status int) {
	proxies := e.cluster.controllerProxies
	response, err := e.client.Post("http://"+proxies[e.random.IntN(len(proxies))].address()+string(order), "", nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// deliverLate delivers an order that its sender has given up to every controller: the connection is closed
// right behind its bytes.
func (e *evacuator) deliverLate(order evacuationOrder) {
	for _, controller := range e.cluster.controllers {
		address := controller.settings.Listen.Control
		conn, err := net.DialTimeout("tcp4", address, orderTimeout)
		if err != nil {
			continue
		}
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", order, address)
		conn.Close()
	}
}
