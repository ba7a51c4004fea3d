package standins

import "testing"

// Guards against one address for two listeners of a deployment, which a daemon
// refuses as a fault of its settings.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 3_000 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was given out twice", address)
		}
		seen[address] = true
	}
}
