// Package resultcode defines the numbered results that marigoldwood reports to operators, logs and peers.
//
// A number never changes its meaning. docs/result-codes.md is generated from All.
package resultcode

import (
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
)

// Code is a numbered result.
type Code uint16

// Info explains a code to operators.
type Info struct {
	Code   Code
	Name   string // kebab-case, stable
	Text   string // what happened
	Action string // what the operator does
}

// OK is the result of an operation that did what was asked.
const OK Code = 0

// All returns the Info of every code in ascending order of code.
func All() []Info {
	all := slices.Concat([]Info{{OK, "ok", "the operation succeeded", "none"}},
		settingsCodes, bundleCodes, packetCodes, admissionCodes, peerCodes, lifecycleCodes)
	slices.SortFunc(all, func(a, b Info) int { return int(a.Code) - int(b.Code) })
	return all
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info)
	for _, info := range All() {
		m[info.Code] = info
	}
	return m
}()

// Lookup returns the Info of c and whether c is defined.
func Lookup(c Code) (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// String returns the name of the code, or its number when it is not defined.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return fmt.Sprintf("code-%d", uint16(c))
}

// Error is an error with a result code. Field names the offending field, if there is one.
type Error struct {
	Code   Code
	Field  string
	Detail string
}

// Errorf returns an Error for the field with a formatted detail.
func Errorf(code Code, field, format string, args ...any) *Error {
	return &Error{Code: code, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code, its name, the field and the detail in one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Detail)
	}
	return fmt.Sprintf("%d %s: %s: %s", uint16(e.Code), e.Code, e.Field, e.Detail)
}

// Of returns the code of the first Error in the chain of err, OK for nil, and Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// Recover, when deferred, converts a panic to an error with the code Internal and the stack trace of the panic. It is for
// external input: a message that makes a decoder or handler panic must end only its own connection or read, not the process.
func Recover(err *error) {
	if p := recover(); p != nil {
		*err = Errorf(Internal, "", "panic: %v\n%s", p, debug.Stack())
	}
}
