// Package reason enumerates the reasons for refusals and retries and the outcomes of requests.
//
// The same values are used as metric labels, log fields, fields of log records and in answers to callers. A new
// reason for a refusal is added here first; everything else is derived from the enumeration.
package reason
