package lab

import "dillsaddle.example/dillsaddle/watch"

// peerLimit is how many peers a watch has.
const peerLimit = 4

func peerCount(boxes int) float64 {
	l := listOf(boxes, 0)
	most := 0
	for i := range l.Boxes {
		most = max(most, len(watch.Peers(l, l.Boxes[i].Name, peerLimit)))
	}
	return float64(most)
}
