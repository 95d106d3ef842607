package admission

// knownLengthProfile returns the profile of a generation whose output length is known in
// advance.
func knownLengthProfile(prompt, generated, length int) Profile {
	var p Profile
	left := float64(length - generated)
	low := 0.0
	for i, high := range horizons {
		if left < low {
			break
		}
		p.raiseTo(i, float64(prompt+generated)+min(high, left), 1)
		low = high
	}
	return p
}

// reservedProfile returns a profile that reserves the maximum output length at every
// horizon.
func reservedProfile(prompt, maxTokens int) Profile {
	var p Profile
	for i := range horizons {
		p.Mean[i] = float64(prompt + maxTokens)
	}
	return p
}
