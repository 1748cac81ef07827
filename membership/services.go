package membership

// CountByService returns the number of targets of each service, without lost ones.
func (d *Directory) CountByService() map[uint32]int {
	out := map[uint32]int{}
	for _, t := range d.byID {
		if t.lost == nil {
			out[t.latest.GetService()]++
		}
	}
	return out
}
