package closer

import "go.uber.org/zap"

// Report returns a function for Closer.OnCut that counts and logs the event responseCut.
func Report(count func(event string), log *zap.Logger) func(Cut) {
	return func(cut Cut) {
		count("responseCut")
		log.Warn("responseCut", zap.String("remote", cut.Remote), zap.Int64("unacknowledged", int64(cut.Unacknowledged)),
			zap.Duration("waited", cut.Waited))
	}
}
