package event

import "github.com/phuslu/log"

// Events of the request path.
const (
	CallerServing ID = 1101 + iota
	CallerAcceptFailed
	CallerDrainEnded
	CallerRequestsEnded
	CallerPanic
	RelayStreamBroken
	RelayCancelFailed
	RelayCompleteFailed
	RelayClaimFailed
	EngineEventsBroken
	RequestEnded
	HandleNotFreed
	LinesDropped
	ReservationNotReleased
)

var requestEvents = map[ID]Description{
	CallerServing:          {log.InfoLevel, "serving callers"},
	CallerAcceptFailed:     {log.ErrorLevel, "accepting callers failed"},
	CallerDrainEnded:       {log.InfoLevel, "drain ended"},
	CallerRequestsEnded:    {log.WarnLevel, "running requests were ended"},
	CallerPanic:            {log.ErrorLevel, "request handler panicked"},
	RelayStreamBroken:      {log.WarnLevel, "decode stream broke"},
	RelayCancelFailed:      {log.WarnLevel, "cancelling abandoned work failed"},
	RelayCompleteFailed:    {log.ErrorLevel, "recording the end of an at-most-once request failed"},
	RelayClaimFailed:       {log.WarnLevel, "claiming an at-most-once request failed"},
	EngineEventsBroken:     {log.InfoLevel, "event stream of an engine broke"},
	RequestEnded:           {log.InfoLevel, "request ended"},
	HandleNotFreed:         {log.InfoLevel, "the result of a prefill could not be freed"},
	LinesDropped:           {log.WarnLevel, "log lines were left out to bound their number"},
	ReservationNotReleased: {log.InfoLevel, "reserved room could not be given back"},
}
