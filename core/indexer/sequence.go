package indexer

import "math"

// Sequence is a sequence of numbers in [0, 1) whose first n numbers are spread evenly, for
// any n. PickService follows the weights more closely with it than with random numbers:
// with n requests the share of a service is off by about 1/n in place of 1/sqrt(n). Start it
// with a random number, so that the VMs of a fleet differ.
type Sequence struct {
	// Point is the next number.
	Point float64
}

// step is the fraction whose multiples are spread most evenly: the golden ratio less one.
const step = math.Phi - 1

// Next returns the next number.
func (sequence *Sequence) Next() float64 {
	point := sequence.Point
	_, sequence.Point = math.Modf(point + step)
	return point
}
