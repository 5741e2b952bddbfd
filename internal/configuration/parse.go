package configuration

// ParseRoute reads an item of "routes". The error is a *Refusal.
func ParseRoute(raw []byte) (Route, error) { panic("not built yet") }

// ParseService reads an item of "services". The error is a *Refusal.
func ParseService(raw []byte) (Service, error) { panic("not built yet") }

// ParseLimits reads "limits". The error is a *Refusal.
func ParseLimits(raw []byte) (Limits, error) { panic("not built yet") }

// DefaultLimits returns what holds where the operator gives no limits.
func DefaultLimits() Limits { panic("not built yet") }
