package settings

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

var methods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (d *document) checkServices(services []Service) {
	seen := map[string]bool{}
	for i, service := range services {
		key := fmt.Sprintf("services[%d]", i)
		if service.Name == "" {
			d.addError(key+".name", "is missing or empty")
		}
		if seen[service.Name] {
			d.addError(key+".name", "service %q is listed twice", service.Name)
		}
		seen[service.Name] = true
		for j, call := range service.Idempotent {
			method, path, _ := strings.Cut(call, " ")
			if !slices.Contains(methods, method) || !strings.HasPrefix(path, "/") {
				d.addError(fmt.Sprintf("%s.idempotent[%d]", key, j), "%q is not of the form \"POST /path-prefix\"", call)
			}
		}
	}
}
