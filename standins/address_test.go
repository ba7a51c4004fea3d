package standins

import "testing"

// Guards against the same address for two listeners of a deployment, which a
// daemon rejects as invalid settings.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 3_000 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
