package admin

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
)

// maxConcurrent is the maximum number of concurrent requests.
const maxConcurrent = 4

// Handler serves /metrics, /status and /inForce.
func Handler(metrics http.Handler, status func() Status, inForce func(context.Context) InForce) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery(), limitConcurrency(maxConcurrent))
	e.GET("/metrics", gin.WrapH(metrics))
	e.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, status()) })
	e.GET("/inForce", func(c *gin.Context) { c.JSON(http.StatusOK, inForce(c.Request.Context())) })
	return e
}

// limitConcurrency responds with status 429 while n requests are in progress.
func limitConcurrency(n int) gin.HandlerFunc {
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
