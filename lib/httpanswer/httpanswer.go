// Package httpanswer reads the answers of HTTP/1.1 servers. It alone decides whether an answer is well formed (RFC 9110, RFC 9112): the
// parser of fasthttp, which stores the header fields, accepts more. A malformed answer states nothing about its request: the server may
// have processed it.
package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// Part names the part of an answer that is malformed, as it is logged.
type Part string

// Parts of an answer.
const (
	PartStatusLine    Part = "status line"
	PartFieldName     Part = "field name"
	PartFieldValue    Part = "field value"
	PartFraming       Part = "framing" // the fields that delimit the body
	PartInformational Part = "informational"
	PartHead          Part = "head" // cut off, or too large
	PartBody          Part = "body" // cut off
	PartChunk         Part = "chunk"
	PartTrailer       Part = "trailer"
)

// Error is the error of an answer that is malformed or cut off. Errors of the connection that say nothing about the answer, such as
// timeouts, are returned as they are.
type Error struct {
	Part  Part
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("malformed answer: %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// PartOf returns the malformed part if the error is or wraps an Error, else "".
func PartOf(err error) Part {
	if e := (*Error)(nil); errors.As(err, &e) {
		return e.Part
	}
	return ""
}

// malformed returns an Error with a formatted cause.
func malformed(part Part, format string, args ...any) error {
	return &Error{part, fmt.Errorf(format, args...)}
}

// CutOff returns the error of an answer whose connection failed with err inside the part: an Error if the peer ended the connection, else err.
func CutOff(part Part, err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return &Error{part, err}
	}
	return err
}
