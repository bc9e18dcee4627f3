package caller

import "azuredoor.example/entry/relay"

// profileResolver sets the profile of the request's route.
type profileResolver struct{}

// Serve implements Filter.
func (f *profileResolver) Serve(x *Exchange, next Handler) *relay.Error {
	if x.Kind == KindModels {
		return next(x)
	}
	x.ProfileName = x.Route.Profile
	x.Profile = x.View.Config.Profiles[x.ProfileName]
	if x.Profile == nil {
		return notReadyError("The route's profile does not exist.")
	}
	return next(x)
}
