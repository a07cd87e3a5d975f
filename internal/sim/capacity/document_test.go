package capacity

import (
	"fmt"
	"strings"

	"drumstall.example/internal/conf"
)

const contentType = "application/vnd.drumstall.platform+json"

func document(models, adapters, routes, services int) []byte {
	var b strings.Builder
	b.WriteString(`{"version":1001,"routes":[`)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%04d","host":"host-%02d.example","pathStart":"/v1/r%04d/","kind":"streaming","timeoutMs":30000,"targetMs":330,"priority":1,"split":[{"service":"service-%02d","weight":1}],"tries":3,"resumable":true,"gapTargetMs":78}`, i, i%20, i, i%max(services, 1))
	}
	b.WriteString(`],"services":[`)
	for s := range services {
		if s > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"service-%02d","maxConnections":64,"runtime":{"slots":32,"cacheTokens":400000,"sizeMb":600000,"adapterCapacity":32,"loadRateS":0.5,"models":[`, s)
		for m := s; m < models; m += services {
			if m > s {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"name":"%s","sizeMb":140000,"loadTimeS":42.5,"adapters":%d,"adapterSizeMb":200}`, ModelName(m), adapters/models)
		}
		b.WriteString(`]}}`)
	}
	b.WriteString(`],"limits":{"maxBodyBytes":4194304}}`)
	return []byte(b.String())
}

func kept(models, adapters, routes, services int) conf.Stored {
	var k conf.Stored
	got, err := k.Apply(conf.Change{Mode: conf.Whole, ContentType: contentType, Body: document(models, adapters, routes, services)})
	if err != nil {
		panic(err)
	}
	return got.Stored
}
