package gypsumshelf

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a verdict that is weakened on its way to a caller.
func TestVerdict(t *testing.T) {
	all := []Verdict{NotRun, MayHaveRun, Ran}
	Convey("A verdict", t, func() {
		Convey("keeps its meaning through JSON", func() {
			for _, v := range all {
				data, err := json.Marshal(v)
				So(err, ShouldBeNil)
				var back Verdict
				So(json.Unmarshal(data, &back), ShouldBeNil)
				So(back, ShouldEqual, v)
			}
		})
		Convey("is not read from an unknown name", func() {
			var v Verdict
			So(json.Unmarshal([]byte(`"perhaps"`), &v), ShouldNotBeNil)
		})
		Convey("is never weakened by another one", func() {
			for _, v := range all {
				for _, w := range all {
					So(v.Worse(w), ShouldBeGreaterThanOrEqualTo, v)
					So(v.Worse(w), ShouldEqual, w.Worse(v))
				}
			}
		})
	})
}
