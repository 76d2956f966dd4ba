package group

// Exported for tests of package group_test.
const (
	ReleaseTimeout = releaseTimeout
	ListTimeShare  = listTimeShare
)
