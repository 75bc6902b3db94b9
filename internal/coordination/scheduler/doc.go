// Package scheduler decides which waiting request runs next and which are shed.
package scheduler
