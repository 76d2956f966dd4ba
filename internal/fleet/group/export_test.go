package group

// What tests outside the package need of it.
const (
	ReleaseTimeout = releaseTimeout
	ListTimeShare  = listTimeShare
)
