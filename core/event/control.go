package event

import "github.com/phuslu/log"

// Events of azuredoor-control.
const (
	ControlStarted ID = 2001 + iota
	ControlStopped
)

// Events of the storage of a control member.
const (
	DiskTailCut ID = 2101 + iota
	DiskDamaged
	DiskFailed
	DiskSetAside
)

// Events of a control member and its services.
const (
	ControlLeaderChanged ID = 2201 + iota
	ControlMembershipChanged
	ControlGroupFormed
	ControlLearnerPromoted
	ControlSnapshotTaken
	ControlSnapshotInstalled
	ControlSessionOpened
	ControlSessionsEnded
	ControlUpstreamsDown
	ControlGraceGranted
	ControlOrderLeaseGranted
	ControlConfigChanged
	ControlOperatorRefused
	ControlLeadershipTransferFailed
	ControlStopping
	ControlMemberRemoved
	ControlJoining
	ControlUpstreamChanged
	ControlUpstreamWithdrawn
	ControlDocumentStored
	ControlDocumentRefused
	ControlDocumentRead
	ControlCallFailed
	ControlSettingsReloaded
	ControlCallAbandoned
	ControlHeartbeatStale
	ControlEvacuationOrdered
	ControlDocumentNotCompressed
)

var controlEvents = map[ID]Description{
	ControlStarted: {log.InfoLevel, "control member started"},
	ControlStopped: {log.InfoLevel, "control member stopped"},

	DiskTailCut:  {log.WarnLevel, "unsynced tail of the log cut off after a crash or power failure"},
	DiskDamaged:  {log.ErrorLevel, "stored data is damaged; the member must rejoin as a new one"},
	DiskFailed:   {log.ErrorLevel, "storage failed; the member stops"},
	DiskSetAside: {log.WarnLevel, "damaged data set aside; the member rejoins as a new one"},

	ControlLeaderChanged:            {log.InfoLevel, "leadership changed"},
	ControlMembershipChanged:        {log.InfoLevel, "the members of the control group changed"},
	ControlGroupFormed:              {log.InfoLevel, "formed a new control group"},
	ControlLearnerPromoted:          {log.InfoLevel, "a learner has caught up and gets a vote"},
	ControlSnapshotTaken:            {log.InfoLevel, "stored a snapshot"},
	ControlSnapshotInstalled:        {log.InfoLevel, "installed a snapshot from the leader"},
	ControlSessionOpened:            {log.InfoLevel, "an entry opened a session"},
	ControlSessionsEnded:            {log.WarnLevel, "sessions ended because no keepalive arrived"},
	ControlUpstreamsDown:            {log.WarnLevel, "upstreams are down because no announcement arrived"},
	ControlGraceGranted:             {log.WarnLevel, "the leader did not run for a while; all sessions and upstreams count as renewed"},
	ControlOrderLeaseGranted:        {log.InfoLevel, "the order lease has a new holder"},
	ControlConfigChanged:            {log.InfoLevel, "an operator changed the configuration"},
	ControlOperatorRefused:          {log.WarnLevel, "operator call refused: token missing, wrong or without the right"},
	ControlLeadershipTransferFailed: {log.WarnLevel, "leadership could not be handed over before stopping"},
	ControlStopping:                 {log.InfoLevel, "control member is stopping"},
	ControlMemberRemoved:            {log.WarnLevel, "a member was removed from the control group"},
	ControlJoining:                  {log.InfoLevel, "this process asks to join the control group"},
	ControlUpstreamChanged:          {log.InfoLevel, "an upstream announced a change"},
	ControlUpstreamWithdrawn:        {log.InfoLevel, "an upstream left"},
	ControlDocumentStored:           {log.InfoLevel, "a configuration document was acknowledged"},
	ControlDocumentRefused:          {log.WarnLevel, "a configuration document was refused"},
	ControlDocumentRead:             {log.InfoLevel, "the configuration document was read"},
	ControlCallFailed:               {log.WarnLevel, "a call to the control group got no clear outcome"},
	ControlSettingsReloaded:         {log.InfoLevel, "settings reloaded"},
	ControlCallAbandoned:            {log.InfoLevel, "a call had no effect because its caller had left"},
	ControlHeartbeatStale:           {log.InfoLevel, "an upstream's heartbeat changed nothing because a newer one is known"},
	ControlEvacuationOrdered:        {log.InfoLevel, "an operator evacuated a failure domain or withdrew its evacuation"},
	ControlDocumentNotCompressed:    {log.WarnLevel, "the configuration document could not be compressed and is sent as it is"},
}
