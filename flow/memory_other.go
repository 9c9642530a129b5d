//go:build !linux

package flow

func adviseHugePages([]Entry) {}
