package flow

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

const hugePageBytes = 2 << 20

// adviseHugePages asks the kernel to back a large slab with huge pages. Lookups access the slab at random, and with pages
// of 4 KiB nearly every one misses the TLB. An error is ignored, since the table works without huge pages too.
func adviseHugePages(slab []Entry) {
	if len(slab) == 0 {
		return
	}
	start := uintptr(unsafe.Pointer(unsafe.SliceData(slab)))
	end := start + uintptr(len(slab))*unsafe.Sizeof(Entry{})
	skip := -start & (hugePageBytes - 1)
	if start+skip+hugePageBytes > end {
		return
	}
	length := (end - start - skip) &^ (hugePageBytes - 1)
	first := (*byte)(unsafe.Add(unsafe.Pointer(unsafe.SliceData(slab)), skip))
	_ = unix.Madvise(unsafe.Slice(first, length), unix.MADV_HUGEPAGE)
}
