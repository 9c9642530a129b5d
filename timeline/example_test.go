package timeline_test

import (
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/timeline"
)

func Example() {
	at := func(s int64) func() time.Time { return func() time.Time { return time.Unix(s, 0) } }
	fast, slow := timeline.NewClock(at(102)), timeline.NewClock(at(100))
	sent := fast.Next()
	received := slow.Observe(sent) // the slow clock advances past the stamp of the message
	fmt.Println(received.Compare(sent) > 0)
	// Output: true
}
