package load

import (
	"context"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5"
)

// Dial connects to an address without TLS, with c's user, password and group.
// The settings are sent as PostgreSQL start-up parameters, except empty ones.
func Dial(x context.Context, c Config, address string, settings map[string]string) (*pgx.Conn, error) {
	f, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h, p, err := net.SplitHostPort(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n, err := strconv.ParseUint(p, 10, 16)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Host, f.Port, f.User, f.Password, f.Database, f.Fallbacks = h, uint16(n), c.User, c.Password, c.Group, nil
	for k, v := range settings {
		if v != "" {
			f.RuntimeParams[k] = v
		}
	}
	o, err := pgx.ConnectConfig(x, f)
	return o, Error.Wrap(err)
}
