package sharer

import (
	"cmp"
	"slices"
)

// Classes is the number of priority classes; class 0 is the most urgent.
const Classes = 4

// guaranteedPart is the fraction of a share that is divided among its priority classes before urgent ones go first:
// otherwise a burst of the most urgent requests would leave nothing to the others.
const guaranteedPart = 0.5

// ClassOf returns the class of a priority from 0 for the highest to 1 for the lowest.
func ClassOf(priority float64) int {
	if !(priority > 0) {
		return 0
	}
	return min(Classes-1, int(priority*(Classes-1)+0.5))
}

// Workspace is what one workspace asks for and what it gets; all work is in requests in progress, over all routers.
type Workspace struct {
	Name   string
	Weight float64          // relative to the others; not positive means 1
	Need   [Classes]float64 // work that is asked for

	Share    float64          // work that is accepted
	Accepted [Classes]float64 // fraction of the need that is accepted
}

// Total returns the need of all classes.
func (w *Workspace) Total() (total float64) {
	for _, need := range w.Need {
		total += need
	}
	return total
}

func (w *Workspace) weight() float64 {
	if !(w.Weight > 0) {
		return 1
	}
	return w.Weight
}

// Divide sets the shares of a capacity and sorts the list. A workspace that asks for less than its part by weight gets
// all of it; what it leaves goes to the others. Nothing is refused while the capacity suffices for all.
func Divide(capacity float64, list []*Workspace) {
	slices.SortFunc(list, func(a, b *Workspace) int {
		return cmp.Or(cmp.Compare(a.Total()/a.weight(), b.Total()/b.weight()), cmp.Compare(a.Name, b.Name))
	})
	weights := 0.0
	for _, w := range list {
		weights += w.weight()
	}
	left := max(0, capacity)
	for i, w := range list {
		part := left
		if i < len(list)-1 {
			part = left * w.weight() / weights
		}
		need := w.Total()
		w.Share = min(need, part)
		left -= w.Share
		weights -= w.weight()
		w.divideByClass(need)
	}
}

// divideByClass divides the share among the classes: a guaranteed part equally by need, the rest by priority.
func (w *Workspace) divideByClass(need float64) {
	if w.Share >= need {
		w.Accepted = acceptAll
		return
	}
	var granted [Classes]float64
	open := Classes
	left := guaranteedPart * w.Share
	for level := left / Classes; open > 0 && left > 0; level = left / float64(open) {
		isLowered := false
		for class, n := range w.Need {
			if granted[class] == 0 && n <= level {
				granted[class] = max(n, tiny)
				left -= n
				open--
				isLowered = true
			}
		}
		if isLowered {
			continue
		}
		for class := range granted {
			if granted[class] == 0 {
				granted[class] = level
			}
		}
		break
	}
	left = w.Share
	for class := range granted {
		granted[class] = min(granted[class], w.Need[class])
		left -= granted[class]
	}
	for class, n := range w.Need {
		more := min(max(0, left), n-granted[class])
		granted[class] += more
		left -= more
		w.Accepted[class] = 1
		if n > 0 {
			w.Accepted[class] = min(1, granted[class]/n)
		}
	}
}

// tiny marks a class without need as served.
const tiny = 1e-12

var acceptAll = [Classes]float64{1, 1, 1, 1}
