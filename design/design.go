// Package design holds the four outward APIs of drumstall as goa designs:
// what callers, operators, replicas and the platform see. Generated code is
// committed under gen/.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("drumstall", func() {
	Title("drumstall")
	Description("Router and placer for many models.")
	Server("drumstall", func() {
		Services("caller", "operator", "replica", "platform")
		Host("loopback", func() { URI("http://127.0.0.1:8080") })
	})
})

// Refusal is what a caller or operator gets when drumstall gives up on a request.
var Refusal = Type("Refusal", func() {
	ErrorName("name", String, "Short reason")
	Attribute("detail", String, "What happened, in one sentence")
	Attribute("outcome", String, "not-run, unknown or ran")
	Attribute("retryAfter", String, "Seconds until another try is worth it")
	Attribute("faults", ArrayOf(String), "Every fault found in what was sent")
	Required("name", "detail", "outcome")
})

func refusals(names ...string) {
	for _, n := range names {
		Error(n, Refusal)
	}
}

func refusalStatus(name string, status int) {
	Response(name, status, func() {
		Header("outcome:Drumstall-Outcome")
		Header("retryAfter:Retry-After")
	})
}

var _ = Service("caller", func() {
	Description("Requests of callers.")
	refusals("bad", "unauthorized", "unknown_target", "too_large", "full", "too_late", "lost")
	Method("shoot", func() {
		Description("Send one request over a route; the answer is streamed back as the back end sends it.")
		Payload(func() {
			Attribute("route", String, "Name of the route")
			Attribute("model", String, "Model, where the route leads to models")
			Attribute("adapter", String, "Adapter of the model")
			Attribute("deadlineMs", Int, "Caller's own deadline in milliseconds; the route's is the upper bound")
			Attribute("ticket", String, "Caller's own number for the request, passed on to the back end")
			Attribute("authorization", String, "Bearer KEY, a key of the caller's tenant, where keys are required")
			Required("route")
		})
		Result(func() {
			Attribute("outcome", String)
			Attribute("contentType", String)
			Attribute("replica", String, "Back end that answers")
			Required("outcome", "contentType", "replica")
		})
		HTTP(func() {
			POST("/v1/routes/{route}")
			Param("model")
			Param("adapter")
			Header("deadlineMs:Drumstall-Deadline-Ms")
			Header("ticket:Drumstall-Ticket")
			Header("authorization:Authorization")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("outcome:Drumstall-Outcome")
				Header("contentType:Content-Type")
				Header("replica:Drumstall-Replica")
			})
			refusalStatus("bad", StatusBadRequest)
			refusalStatus("unauthorized", StatusUnauthorized)
			refusalStatus("unknown_target", StatusNotFound)
			refusalStatus("too_large", StatusRequestEntityTooLarge)
			refusalStatus("full", StatusServiceUnavailable)
			refusalStatus("too_late", StatusGatewayTimeout)
			refusalStatus("lost", StatusBadGateway)
		})
	})
	Method("vitals", func() {
		Description("Whether this proxy serves.")
		Result(MapOf(String, String))
		Error("full", Refusal)
		HTTP(func() {
			GET("/v1/vitals")
			Response(StatusOK)
			refusalStatus("full", StatusServiceUnavailable)
		})
	})
})

var Submitted = Type("Submitted", func() {
	Attribute("serial", String, "Serial of the configuration now kept")
	Attribute("sum", String, "SHA-256 of the bytes kept")
	Required("serial", "sum")
})

var _ = Service("operator", func() {
	Description("Configuration, status and explanations.")
	refusals("bad", "missing", "stale", "no_quorum", "unknown_outcome", "too_large")
	statuses := func() {
		refusalStatus("bad", StatusBadRequest)
		refusalStatus("missing", StatusNotFound)
		refusalStatus("stale", StatusPreconditionFailed)
		refusalStatus("no_quorum", StatusServiceUnavailable)
		refusalStatus("unknown_outcome", StatusServiceUnavailable)
		refusalStatus("too_large", StatusRequestEntityTooLarge)
	}
	Method("put", func() {
		Description("Replace the whole configuration.")
		Payload(func() {
			Attribute("ifMatch", String, "Serial that must be current")
			Attribute("contentType", String)
		})
		Result(Submitted)
		HTTP(func() {
			PUT("/v1/config")
			Header("ifMatch:If-Match")
			Header("contentType:Content-Type")
			SkipRequestBodyEncodeDecode()
			Response(StatusOK, func() { Header("serial:ETag") })
			statuses()
		})
	})
	Method("patch", func() {
		Description("Replace or remove the named objects, leaving the others.")
		Payload(func() {
			Attribute("ifMatch", String, "Serial that must be current")
			Attribute("contentType", String)
		})
		Result(Submitted)
		HTTP(func() {
			PATCH("/v1/config")
			Header("ifMatch:If-Match")
			Header("contentType:Content-Type")
			SkipRequestBodyEncodeDecode()
			Response(StatusOK, func() { Header("serial:ETag") })
			statuses()
		})
	})
	Method("get", func() {
		Description("Read configuration: what=effective is the result now in force, what=submission the newest acknowledged submission exactly as sent, KIND/NAME one object exactly as sent.")
		Payload(func() {
			Attribute("what", String, func() { Default("submission") })
		})
		Result(func() {
			Attribute("serial", String)
			Attribute("contentType", String)
			Attribute("manner", String, "whole or partial")
			Required("serial", "contentType", "manner")
		})
		HTTP(func() {
			GET("/v1/config")
			Param("what")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("serial:ETag")
				Header("contentType:Content-Type")
				Header("manner:Drumstall-Manner")
			})
			statuses()
		})
	})
	Method("status", func() {
		Description("Members, slots, replicas and configuration in force as this core sees them.")
		Result(Any)
		HTTP(func() {
			GET("/v1/status")
			Response(StatusOK)
			statuses()
		})
	})
	Method("explain", func() {
		Description("Latest placement decisions with the verdict of every judge.")
		Payload(func() { Attribute("model", String) })
		Result(Any)
		HTTP(func() {
			GET("/v1/explain")
			Param("model")
			Response(StatusOK)
			statuses()
		})
	})
	Method("rescue", func() {
		Description("Make the core that is asked the only voter, after the others' disks are lost for good.")
		Payload(func() {
			Attribute("lost", ArrayOf(String), "Names of the members that are lost")
			Attribute("serial", UInt64, "Serial of the core set as it stands")
			Required("lost", "serial")
		})
		Result(Any)
		HTTP(func() {
			POST("/v1/rescue")
			Response(StatusOK)
			statuses()
		})
	})
	Method("logs", func() {
		Description("The ring of log lines kept in memory.")
		Result(ArrayOf(String))
		HTTP(func() {
			GET("/v1/logs")
			Response(StatusOK)
		})
	})
})

var AdapterReport = Type("AdapterReport", func() {
	Attribute("name", String)
	Attribute("state", String, "loading, loaded or unloading")
	Attribute("inflight", Int)
	Required("name", "state", "inflight")
})

var ModelReport = Type("ModelReport", func() {
	Attribute("name", String)
	Attribute("state", String, "loading, loaded or unloading")
	Attribute("sizeMib", Int)
	Attribute("inflight", Int)
	Attribute("adapters", ArrayOf(AdapterReport))
	Required("name", "state", "sizeMib", "inflight")
})

var ReplicaReport = Type("ReplicaReport", func() {
	Attribute("id", String)
	Attribute("incarnation", String, "Changes whenever the replica starts anew")
	Attribute("kind", String, "model or service")
	Attribute("capacityMib", Int)
	Attribute("adapterPlaces", Int)
	Attribute("slots", Int, "Requests it runs side by side")
	Attribute("inflight", Int)
	Attribute("leaving", Boolean)
	Attribute("models", ArrayOf(ModelReport))
	Attribute("serveMs", Int, "Recent mean time to serve one request")
	Required("id", "incarnation", "kind", "slots", "inflight", "leaving")
})

var LoadOrder = Type("LoadOrder", func() {
	Attribute("id", String)
	Attribute("verb", String, "load, unload, load-adapter or unload-adapter", func() { Enum("load", "unload", "load-adapter", "unload-adapter") })
	Attribute("model", String)
	Attribute("adapter", String)
	Attribute("sizeMib", Int)
	Attribute("epoch", UInt64, "Epoch of the controller's hold; a replica refuses a lower one")
	Attribute("controller", String)
	Required("id", "verb", "model", "epoch", "controller")
})

var _ = Service("replica", func() {
	Description("What drumstall expects of a back end.")
	refusals("busy", "stale", "bad")
	Method("vitals", func() {
		Result(ReplicaReport)
		HTTP(func() { GET("/vitals") })
	})
	Method("order", func() {
		Payload(LoadOrder)
		HTTP(func() {
			POST("/orders")
			Response(StatusAccepted)
			Response("busy", StatusConflict)
			Response("stale", StatusPreconditionFailed)
			Response("bad", StatusBadRequest)
		})
	})
})

var Listed = Type("Listed", func() {
	Attribute("id", String)
	Attribute("addr", String)
	Attribute("zone", String)
	Attribute("kind", String, "model or service")
	Attribute("labels", MapOf(String, String))
	Attribute("leaving", Boolean)
	Required("id", "addr", "zone", "kind", "leaving")
})

var _ = Service("platform", func() {
	Description("What drumstall expects of the platform.")
	Method("list", func() {
		Result(ArrayOf(Listed))
		HTTP(func() { GET("/replicas") })
	})
})
