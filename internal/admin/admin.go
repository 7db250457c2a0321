package admin

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
)

// maxAtOnce bounds the requests that the operator's port works on at a time.
const maxAtOnce = 4

// Handler serves /metrics, /status and /inForce.
func Handler(metrics http.Handler, status func() Status, inForce func(context.Context) InForce) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery(), limited(maxAtOnce))
	e.GET("/metrics", gin.WrapH(metrics))
	e.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, status()) })
	e.GET("/inForce", func(c *gin.Context) { c.JSON(http.StatusOK, inForce(c.Request.Context())) })
	return e
}

// limited answers 429 while n requests are being worked on.
func limited(n int) gin.HandlerFunc {
	slots := make(chan struct{}, n)
	return func(c *gin.Context) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			c.Next()
		default:
			c.AbortWithStatus(http.StatusTooManyRequests)
		}
	}
}
