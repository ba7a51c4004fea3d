package entries

import (
	"os"
	"strings"
	"testing"
)

// Guards against an error code that is missing from the operations page.
func TestEveryCodeIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for code := range statusOf {
		if !strings.Contains(string(page), "`"+string(code)+"`") {
			t.Errorf("code %q is missing from docs/OPERATIONS.md", code)
		}
	}
}
