package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// ask sends one request to a front address and returns the status, 0 for no answer, and the body.
func ask(front, host, path, id, key string, timeLeft time.Duration, headers map[string]string, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Beechtide-Attempt-Id", id)
	request.Header.Set("Beechtide-Time-Left", fmt.Sprint(timeLeft.Milliseconds()))
	request.Header.Set("Authorization", "Token "+key)
	for k, v := range headers {
		request.Header.Set(k, v)
	}
	response, err := clients.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(raw)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
