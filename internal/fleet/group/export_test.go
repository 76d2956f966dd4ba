package group

// What tests outside the package need of it.
const (
	FreeWithin = freeWithin
	ListShare  = listShare
)
