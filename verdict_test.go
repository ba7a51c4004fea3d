package gypsumshelf

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a verdict that is lost in encoding, or replaced by one which
// states fewer possible side effects, on its way to a caller.
func TestVerdict(t *testing.T) {
	all := []Verdict{NotRun, MayHaveRun, Ran}
	Convey("A verdict", t, func() {
		Convey("is unchanged by JSON encoding and decoding", func() {
			for _, v := range all {
				data, err := json.Marshal(v)
				So(err, ShouldBeNil)
				var back Verdict
				So(json.Unmarshal(data, &back), ShouldBeNil)
				So(back, ShouldEqual, v)
			}
		})
		Convey("cannot be decoded from an unknown name", func() {
			var v Verdict
			So(json.Unmarshal([]byte(`"perhaps"`), &v), ShouldNotBeNil)
		})
		Convey("is never replaced by a smaller one, in either order", func() {
			for _, v := range all {
				for _, w := range all {
					So(v.Worse(w), ShouldBeGreaterThanOrEqualTo, v)
					So(v.Worse(w), ShouldEqual, w.Worse(v))
				}
			}
		})
	})
}
