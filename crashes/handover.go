package crashes

import "slices"

// Questioned returns the causes against which crashes from before the start of the detector
// count only if no request with them was answered since.
func (d *Detector) Questioned() []Cause {
	var causes []Cause
	for c, strikes := range d.strikes {
		if slices.ContainsFunc(strikes, func(s strike) bool { return s.handedOver }) {
			causes = append(causes, c)
		}
	}
	return causes
}

// CountHandedOver makes the crashes from before the start of the detector count. The answers
// to requests with the questioned causes are known now.
func (d *Detector) CountHandedOver() {
	if !d.answersKnown {
		d.answersKnown, d.judgeDue = true, true
	}
}

// counted returns the strikes that count against a cause.
func (d *Detector) counted(c Cause) []strike {
	if d.answersKnown {
		return d.strikes[c]
	}
	return slices.DeleteFunc(slices.Clone(d.strikes[c]), func(s strike) bool { return s.handedOver })
}
