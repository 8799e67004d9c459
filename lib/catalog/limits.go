package catalog

import "time"

// Limits are the limits of callers' requests that the operator states. Zero values are not stated.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration // callers reuse connections that have been idle for up to four fifths of it
}
