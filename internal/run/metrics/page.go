package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
)

// Path is the path of the page.
const Path = "/metrics"

// Page returns a handler that serves the process's expvar variables as text.
func Page() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(kv expvar.KeyValue) { writeVariable(w, kv) })
	})
}

// writeVariable writes a variable. One whose value is not JSON is written as a
// comment line with the error.
func writeVariable(w io.Writer, kv expvar.KeyValue) {
	var value any
	if err := json.Unmarshal([]byte(kv.Value.String()), &value); err != nil {
		_, _ = fmt.Fprintf(w, "# %s can't be shown: %v\n", kv.Key, err)
		return
	}
	writeValue(w, kv.Key, value)
}

// writeValue writes numbers and booleans, and those within objects. Lists and
// strings are omitted; /debug/vars has them. Write errors are ignored, as they
// mean that the client has disconnected.
func writeValue(w io.Writer, name string, value any) {
	switch value := value.(type) {
	case float64:
		_, _ = fmt.Fprintf(w, "%s %s\n", name, strconv.FormatFloat(value, 'f', -1, 64))
	case bool:
		_, _ = fmt.Fprintf(w, "%s %t\n", name, value)
	case map[string]any:
		names := make([]string, 0, len(value))
		for key := range value {
			names = append(names, key)
		}
		slices.Sort(names)
		for _, key := range names {
			writeValue(w, name+"."+key, value[key])
		}
	}
}
