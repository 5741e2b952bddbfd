package dispatch

// HTTP status codes that the dispatcher sends or distinguishes.
const (
	statusOK              = 200
	statusBadRequest      = 400
	statusNotFound        = 404
	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
	statusServerError     = 500
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusGatewayTimeout  = 504
)
