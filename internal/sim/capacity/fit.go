package capacity

// Fit lays a straight line through points by least squares.
func Fit(xs, ys []float64) (slope, atZero float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
