package client

import (
	"context"
	"net/http"
	"net/url"
)

// pathAccounts is the path of the use of accounts on a gateway VM's listener of metrics.
const pathAccounts = "/metrics/accounts"

// Gateway is a client of the metrics listener of a VM of gateway. It is safe for concurrent use.
type Gateway struct {
	cn *conn
}

// NewGateway returns a Gateway. It opens no connection.
func NewGateway(cfg Config) (*Gateway, error) {
	cn, err := newConn("client.NewGateway", cfg)
	if err != nil {
		return nil, err
	}
	return &Gateway{cn: cn}, nil
}

// Accounts decodes the VM's view of one client account into a value, or that of the largest ones if
// the name is empty. The JSON form is that of entry.AccountUsage, which this package does not import
// because it comes with the whole request path.
func (gw *Gateway) Accounts(ctx context.Context, account string, into any) error {
	cl := call{op: "client.Accounts", method: http.MethodGet, path: pathAccounts, query: url.Values{}}
	if account != "" {
		cl.query.Set("account", account)
	}
	return gw.cn.doJSON(ctx, cl, into)
}
