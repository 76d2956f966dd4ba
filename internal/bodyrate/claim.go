package bodyrate

import "sync"

// Claim gives a body that can be read only once to one reader. Its zero value is not taken. It is safe for
// concurrent use.
type Claim struct {
	mu      sync.Mutex
	taken   bool
	reading chan struct{} // closed by Done; nil if nobody reads
}

// Take reports whether the body can be read. If so, the caller is its reader and calls Done once it reads no more.
func (c *Claim) Take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken {
		return false
	}
	c.taken, c.reading = true, make(chan struct{})
	return true
}

// Done ends the reading of whoever took the body. It is called once.
func (c *Claim) Done() { close(c.reading) }

// Taken reports whether nobody can take the body any more.
func (c *Claim) Taken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken
}

// Close makes further calls of Take fail and waits until the reader, if there is one, is done.
func (c *Claim) Close() {
	c.mu.Lock()
	c.taken = true
	reading := c.reading
	c.mu.Unlock()
	if reading != nil {
		<-reading
	}
}
