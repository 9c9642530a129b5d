package safedecode

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

type sample struct {
	Numbers []uint32
	Bytes   []byte
	Text    string
	Names   []string
	ByName  map[string]int
	Any     any
	At      time.Time
}

// maxAllocated is the memory that decoding a few bytes may take.
const maxAllocated = 4 << 20

// allocated returns the memory that fn allocates, in bytes.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against memory for elements and bytes that the data only claims to hold, and against a nesting that uses up the stack.
func TestClaimsBeyondData(t *testing.T) {
	field := func(name, value string) string { return "\x81" + string([]byte{0xa0 | byte(len(name))}) + name + value }
	for name, data := range map[string]string{
		"empty":             "",
		"numbers":           field("Numbers", "\xdd\x04\x00\x00\x00\x07\x07"),
		"names":             field("Names", "\xdd\x04\x00\x00\x00\xa1a"),
		"map":               field("ByName", "\xdf\x04\x00\x00\x00\xa1a\x01"),
		"any array":         field("Any", "\xdd\x04\x00\x00\x00\x01"),
		"any map":           field("Any", "\xdf\xff\xff\xff\xff\x01"),
		"bytes":             field("Bytes", "\xc6\x40\x00\x00\x00ab"),
		"text":              field("Text", "\xdb\x40\x00\x00\x00ab"),
		"extension":         field("At", "\xc9\x40\x00\x00\x00\xffab"),
		"unknown field":     field("x", "\xdd\x04\x00\x00\x00\x07"),
		"deep array":        strings.Repeat("\x91", 1<<20) + "\x01",
		"deep map":          strings.Repeat("\x81\x01", 1<<20) + "\x01",
		"deep field":        field("Any", strings.Repeat("\x91", 1<<20)+"\x01"),
		"unused code":       "\xc1",
		"trailing bytes":    "\x80\x01",
		"half a number":     "\xce\x01",
		"half a length":     "\xdd\x01",
		"value is missing":  "\x81\xa1x",
		"fixed bytes short": "\xa3ab",
	} {
		var err error
		if n := allocated(func() { err = Msgpack([]byte(data), &sample{}) }); err == nil || n > maxAllocated {
			t.Errorf("%s: allocated %d bytes, error %v, want an error and at most %d bytes", name, n, err, maxAllocated)
		}
	}
}

// Guards against valid data that is rejected, for each format that the library writes.
func TestValidDataIsDecoded(t *testing.T) {
	for _, n := range []int{0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536} {
		in := sample{
			Numbers: make([]uint32, n), Bytes: make([]byte, n), Text: strings.Repeat("x", n), Names: make([]string, n),
			ByName: map[string]int{}, At: time.Unix(1<<34, 5).UTC(),
		}
		for i := range n {
			in.Names[i] = fmt.Sprint(i)
			in.ByName[in.Names[i]] = -i << (i % 48)
		}
		for _, x := range []any{nil, true, int64(math.MinInt64), uint64(math.MaxUint64), float32(1.5), 2.5, "text", []any{"a", "b"}} {
			in.Any = x
			data, err := msgpack.Marshal(&in)
			if err != nil {
				t.Fatal(err)
			}
			var out sample
			if err := Msgpack(data, &out); err != nil || !reflect.DeepEqual(in.ByName, out.ByName) || !bytes.Equal(in.Bytes, out.Bytes) ||
				len(out.Numbers) != n || out.Text != in.Text || !out.At.Equal(in.At) || fmt.Sprint(out.Any) != fmt.Sprint(x) {
				t.Fatalf("%d elements, %v: not decoded to what was encoded: %v", n, x, err)
			}
		}
	}
}

// panics holds data on which the library panics.
var panics = map[string]string{
	"second value of a field of type any": "\x87\xa700000000\xa5000000\xa00\xa100\xa3Any\xd6\xff0000\xa3Any\xd6\xff000000",
	"time in place of bytes":              "\x81\xa5Bytes\xc7\f\xff\x00\x00\x00\x00\xff\xff\xff\xf1\x88n\t\x00",
}

// Guards against a panic of the library that ends the process.
func TestPanicsOfLibrary(t *testing.T) {
	for name, data := range panics {
		if err := Msgpack([]byte(data), &sample{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// FuzzMsgpack guards against data that the check lets through and that the library decodes from more bytes than there are, or to
// values of a size out of proportion to the data.
func FuzzMsgpack(f *testing.F) {
	data, err := msgpack.Marshal(&sample{Numbers: []uint32{1, 1 << 20}, Names: []string{"a"}, ByName: map[string]int{"a": -1}, Any: 1.5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x81\xa7Numbers\xdd\x04\x00\x00\x00"))
	for _, data := range panics {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var out sample
		if Msgpack(data, &out) != nil {
			return
		}
		if n := len(out.Numbers) + len(out.Bytes) + len(out.Text) + len(out.Names) + len(out.ByName); n > len(data) {
			t.Fatalf("%d elements from %d bytes", n, len(data))
		}
		if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
			t.Fatalf("accepted data that the library does not: %v", err)
		}
	})
}
