// Package spreader spreads an event over the groups of a data centre: the VM that has it
// sends it to a few others, each of which covers a part of the groups. No VM sends more
// than a fixed number of datagrams, however many groups there are, and every group is
// reached after a number of steps that grows with the logarithm of their number.
//
// # Usage
//
//	for _, part := range spreader.Split(spreader.All(groups), own) {
//		// Send the event to a VM of group part.First, which covers part.Rest().
//	}
package spreader

// FanOut is the largest number of parts that Split returns.
const FanOut = 4

// Part is a part of the groups of a data centre, by their positions.
type Part struct {
	First int
	// End is the position after the last group.
	End int
}

// All returns the part with all groups.
func All(groups int) Part { return Part{End: groups} }

// Rest returns the part without its first group. As each step covers a smaller part, an
// event comes to an end even if VMs disagree about the groups.
func (part Part) Rest() Part { return Part{First: part.First + 1, End: part.End} }

// Clamp returns what exists of the part if there are so many groups. The VM that sent it
// may know of other groups.
func (part Part) Clamp(groups int) Part {
	return Part{First: min(max(part.First, 0), groups), End: min(max(part.End, 0), groups)}
}

// Split divides the groups of a part, without the VM's own group, into at most FanOut parts
// of nearly equal size.
func Split(part Part, own int) []Part {
	if own < part.First || own >= part.End {
		return part.divide(FanOut)
	}
	before, after := Part{part.First, own}, Part{own + 1, part.End}
	// Each side gets parts by its size, at least one if it has groups.
	size := max(1, before.size()+after.size())
	parts := min(FanOut-1, max(1, (FanOut*before.size()+size/2)/size))
	return append(before.divide(parts), after.divide(FanOut-parts)...)
}

func (part Part) size() int { return max(0, part.End-part.First) }

func (part Part) divide(parts int) []Part {
	parts = min(parts, part.size())
	var divided []Part
	for i := range parts {
		divided = append(divided, Part{part.First + i*part.size()/parts, part.First + (i+1)*part.size()/parts})
	}
	return divided
}
