package fair

// heapElement is an element of a heap that stores its own index in it.
type heapElement[E any] interface {
	before(E) bool
	setIndex(int)
}

// priorityQueue is a binary heap; no element is before the first one.
type priorityQueue[E heapElement[E]] []E

func (h *priorityQueue[E]) push(e E) {
	*h = append(*h, e)
	e.setIndex(len(*h) - 1)
	h.up(len(*h) - 1)
}

func (h *priorityQueue[E]) remove(i int) {
	s := *h
	last := len(s) - 1
	s[i] = s[last]
	s[i].setIndex(i)
	var none E
	s[last] = none
	*h = s[:last]
	if i < last {
		h.fix(i)
	}
}

// fix restores the order after the element at i has changed.
func (h *priorityQueue[E]) fix(i int) {
	h.up(i)
	h.down(i)
}

func (h *priorityQueue[E]) up(i int) {
	s := *h
	for i > 0 {
		parent := (i - 1) / 2
		if !s[i].before(s[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *priorityQueue[E]) down(i int) {
	s := *h
	for {
		child := 2*i + 1
		if child >= len(s) {
			return
		}
		if child+1 < len(s) && s[child+1].before(s[child]) {
			child++
		}
		if !s[child].before(s[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *priorityQueue[E]) swap(i, j int) {
	s := *h
	s[i], s[j] = s[j], s[i]
	s[i].setIndex(i)
	s[j].setIndex(j)
}
