package event

import "maps"

// Catalogue describes every event; docs/events.md documents the same events for operators.
var Catalogue = merge(entryEvents, requestEvents, controlEvents, coreEvents)

func merge(catalogues ...map[ID]Description) map[ID]Description {
	all := map[ID]Description{}
	for _, catalogue := range catalogues {
		maps.Copy(all, catalogue)
	}
	return all
}
