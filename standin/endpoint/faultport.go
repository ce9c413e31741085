package endpoint

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
)

// faultHandler serves the fault port:
//
//	GET  /status    the endpoint's status
//	GET  /faults    the injected faults
//	PUT  /faults    replaces them
//	PATCH /faults   changes the given fields
//	POST /kill      ends the process without any farewell
//	GET  /stats     counts of connections and statements
func (e *Endpoint) faultHandler() http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.Status()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.faults.get()) })
	change := func(keep bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var f Faults
			if keep {
				f = e.faults.get()
				// Decoding into the maps and slices in use would race.
				f.Isolate = slices.Clone(f.Isolate)
				f.OneWayDelay = maps.Clone(f.OneWayDelay)
			}
			dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
			dec.DisallowUnknownFields()
			if err := dec.Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			e.faults.update(func(old *Faults) { *old = f })
			e.log.Info().Any("faults", f).Msg("faults: changed")
			answer(w, f)
		}
	}
	mux.HandleFunc("PUT /faults", change(false))
	mux.HandleFunc("PATCH /faults", change(true))
	mux.HandleFunc("POST /kill", func(w http.ResponseWriter, _ *http.Request) {
		e.log.Info().Msg("faults: killed")
		if e.cfg.OnKill != nil {
			go e.cfg.OnKill()
		}
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.Stats()) })
	return mux
}
