package admission

// fixedProfile is the profile of a generation whose length is known.
func fixedProfile(prompt, generated, length int) Profile {
	var p Profile
	for i, ahead := range horizons {
		if float64(generated)+ahead <= float64(length) {
			p.Mean[i] = float64(prompt+generated) + ahead
		}
	}
	return p
}

// reservedProfile holds the full allowed length from the start.
func reservedProfile(prompt, most int) Profile {
	var p Profile
	for i := range horizons {
		p.Mean[i] = float64(prompt + most)
	}
	return p
}
