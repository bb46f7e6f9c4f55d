package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
)

// fromHeader names the instance that calls the store.
const fromHeader = "X-Review-From"

// storeFor returns a server that passes the calls of one instance on to the store, so that the store knows who calls. What the store
// tells of the samplers goes through run.rewrite.
func (r *run) storeFor(name string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, call *http.Request) {
		call.Header.Set(fromHeader, name)
		if r.rewrite == nil || call.Method != http.MethodGet || call.URL.Query().Get("topic") != "keyed.servers" {
			r.store.Config.Handler.ServeHTTP(w, call)
			return
		}
		recorder := httptest.NewRecorder()
		r.store.Config.Handler.ServeHTTP(recorder, call)
		data := recorder.Body.Bytes()
		if strings.HasSuffix(call.URL.Path, "/log-newest") {
			data = r.rewritePage(name, data)
		} else {
			data = r.rewrite(name, data)
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(data) // the instance has gone if this fails
	}))
}

// rewritePage rewrites the values of a page of newest records.
func (r *run) rewritePage(name string, data []byte) []byte {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset int64  `json:"offset"`
		} `json:"items"`
		HasMore bool  `json:"has_more"`
		End     int64 `json:"end"`
	}
	if err := json.Unmarshal(data, &page); err != nil {
		return data
	}
	for n := range page.Items {
		page.Items[n].Value = r.rewrite(name, page.Items[n].Value)
	}
	if out, err := json.Marshal(page); err == nil {
		return out
	}
	return data
}
