package fleet

// ControlAddress returns the address at which entries reach control member i, counted from 0.
func (f *Fleet) ControlAddress(i int) string {
	return f.advertised[f.Address(firstRouterHost+i, controlPort)]
}

// AdminURL returns the base URL of the admin API of control member i, counted from 0.
func (f *Fleet) AdminURL(i int) string {
	return "http://" + f.Address(firstRouterHost+i, adminPort)
}

// OperatorToken returns an operator token that permits configuration changes.
func (f *Fleet) OperatorToken() string { return f.token }

// SecretFile returns the path of the file with the named secret. The names are "fleet-secret", "join-token",
// "operator-token" and "operator-tokens".
func (f *Fleet) SecretFile(name string) string { return f.secretFile(name) }

// PeerAddress returns the address at which other entries reach entry i, counted from 0.
func (f *Fleet) PeerAddress(i int) string { return f.Address(firstRouterHost+i, peerPort) }
