package site

import "net/http"

// StoreCalls are the numbers of calls that the store has received, by kind.
type StoreCalls struct{ Gets, Ranges, Watches, Transactions, LeaseGrants, LeaseRenewals int }

// Since returns the calls since an earlier count.
func (c StoreCalls) Since(o StoreCalls) StoreCalls {
	return StoreCalls{
		Gets: c.Gets - o.Gets, Ranges: c.Ranges - o.Ranges, Watches: c.Watches - o.Watches,
		Transactions: c.Transactions - o.Transactions, LeaseGrants: c.LeaseGrants - o.LeaseGrants, LeaseRenewals: c.LeaseRenewals - o.LeaseRenewals,
	}
}

// counted returns a handler that counts the calls in n.
func (k *store) counted(n *int, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		*n++
		k.mu.Unlock()
		h(w, r)
	}
}
