// Package evacuation keeps which failure domains the operator has evacuated: nothing new is sent to the upstreams there
// until the operator takes them back.
//
// The operator publishes an entry for each evacuated failure domain and removes it in the end. An instance learns of both
// with the other published entries, from the platform or from an instance that reads it. Instances also tell each other
// all that they know with each pull, so that one that is reading everything in full, or cannot copy a large change,
// hears of an evacuation from any neighbour. The position of the last change decides which record is newer. The end of an
// evacuation is a record, too, and is kept: a neighbour may still have the beginning.
package evacuation
