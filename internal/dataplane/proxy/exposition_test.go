package proxy

import (
	"testing"

	"go.uber.org/zap"

	"ospreybend/internal/util/exposition/expositiontest"
)

func TestProxy_metricFamilies_namesAndHelp(t *testing.T) {
	p := newProxy(testSettings(), zap.NewNop())
	t.Cleanup(p.close)
	expositiontest.Check(t, "../../..", "router_proxy_", p.metricFamilies())
}
