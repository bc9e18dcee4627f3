package event

import "github.com/phuslu/log"

// Events of azuredoor-entry.
const (
	EntryStarted ID = 1001 + iota
	EntryDraining
	EntryStopped
	SessionOpened
	SessionOpenFailed
	SessionLost
	SessionCloseFailed
	KeepaliveFailed
	WatchBroken
	StateNotUnderstood
	AnnouncementRefused
	OwnerWorkCancelled
	SweepFailed
	ServerFailed
	OrderLeaseHeld
	OrderSent
	HandoverFailed
	DocumentApplied
	EntryReloaded
	UpstreamEjected
	UpstreamChanged
	ConnectionEnded
	ReadinessChanged
	CoordinatorChanged
	UpstreamLeaving
	UpstreamPaused
	PartQuarantined
	PartReleased
	LimitsConfirmed
	EvacuationApplied
	MemoryShort
	ViewUnconfirmed
	ViewConfirmed
)

var entryEvents = map[ID]Description{
	EntryStarted:        {log.InfoLevel, "entry started"},
	EntryDraining:       {log.InfoLevel, "entry is draining"},
	EntryStopped:        {log.InfoLevel, "entry stopped"},
	SessionOpened:       {log.InfoLevel, "session opened"},
	SessionOpenFailed:   {log.WarnLevel, "session could not be opened"},
	SessionLost:         {log.WarnLevel, "session ended by the control group"},
	SessionCloseFailed:  {log.WarnLevel, "session could not be closed"},
	KeepaliveFailed:     {log.WarnLevel, "keepalive failed"},
	WatchBroken:         {log.WarnLevel, "watch stream broken"},
	StateNotUnderstood:  {log.ErrorLevel, "accepted state not understood; this entry may be too old"},
	AnnouncementRefused: {log.WarnLevel, "announcement refused"},
	OwnerWorkCancelled:  {log.InfoLevel, "upstream work of an ended session cancelled"},
	SweepFailed:         {log.WarnLevel, "search for upstream work of ended sessions failed"},
	ServerFailed:        {log.ErrorLevel, "server failed"},
	OrderLeaseHeld:      {log.InfoLevel, "order lease held by this entry"},
	OrderSent:           {log.InfoLevel, "order sent to an engine"},
	HandoverFailed:      {log.WarnLevel, "token buckets could not be handed over"},
	DocumentApplied:     {log.InfoLevel, "a configuration document is in force"},
	EntryReloaded:       {log.InfoLevel, "settings reloaded"},
	UpstreamEjected:     {log.WarnLevel, "an upstream gets no requests for a while after failures"},
	UpstreamChanged:     {log.InfoLevel, "an upstream came, changed or left"},
	ConnectionEnded:     {log.InfoLevel, "connections of callers ended without an answer"},
	ReadinessChanged:    {log.InfoLevel, "readiness changed"},
	CoordinatorChanged:  {log.InfoLevel, "another entry coordinates"},
	UpstreamLeaving:     {log.InfoLevel, "an upstream states in a response that it leaves"},
	UpstreamPaused:      {log.InfoLevel, "an upstream asks this entry for a pause"},
	PartQuarantined:     {log.WarnLevel, "requests with a part of prompts are refused, because engines crashed on it"},
	PartReleased:        {log.InfoLevel, "requests with a part of prompts are no longer refused"},
	LimitsConfirmed:     {log.InfoLevel, "a coordinator confirms what is left of customers' limits, or none does any more"},
	MemoryShort:         {log.WarnLevel, "callers that hold much and move little lost their memory to others"},
	ViewUnconfirmed:     {log.WarnLevel, "the leader has not confirmed this entry's configuration for long"},
	ViewConfirmed:       {log.InfoLevel, "the leader confirms this entry's configuration again"},
	EvacuationApplied:   {log.InfoLevel, "this entry knows an order on a failure domain's evacuation"},
}
