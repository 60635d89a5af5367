package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/julienschmidt/httprouter"

	"nutmegnotch/core"
)

// maxOperatorLen is the maximum size of the X-Operator header in bytes.
const maxOperatorLen = 60

// identity is the team that makes a call, and its permissions. operator is taken
// from the X-Operator header and not verified.
type identity struct {
	team     string
	operator string
	scope    []string
	readOnly bool
}

func (id identity) author() string {
	if id.operator == "" {
		return id.team
	}
	return id.team + "/" + id.operator
}

// mayChange reports whether the identity is allowed to change an object.
func (id identity) mayChange(object string) bool {
	return !id.readOnly && id.covers(object)
}

// covers reports whether the object is in the scope of the identity: any object
// for core.AllOrganisations, otherwise only the contracts of its organisations.
func (id identity) covers(object string) bool {
	if slices.Contains(id.scope, core.AllOrganisations) {
		return true
	}
	kind, name, _ := strings.Cut(object, "/")
	return kind == core.KindContract && slices.Contains(id.scope, name)
}

// mayRead reports whether the identity is allowed to read an object. Every team may
// read services, failure domains and the entry set, since they hold no secrets of
// an organisation.
func (id identity) mayRead(object string) bool {
	kind, _, _ := strings.Cut(object, "/")
	return id.covers(object) || kind == core.KindService || kind == core.KindDomain || kind == core.KindEntrySet
}

type handler func(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity)

// authenticated wraps h and answers 401 unless the call has the token of a team.
func (s *Server) authenticated(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		id, known := s.identify(token)
		if !ok || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, string(core.CodeUnauthorized), "bearer token is missing or unknown")
			return
		}
		id.operator = r.Header.Get("X-Operator")
		if len(id.operator) > maxOperatorLen {
			writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), "X-Operator is too long")
			return
		}
		h(w, r, p, id)
	}
}

// identify returns the identity of a token. It compares the token with that of
// every team in constant time, so that the response time does not depend on which
// one matches. The bootstrap token is valid only while no team exists.
func (s *Server) identify(token string) (identity, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	teams := s.cfg.Configuration.Current().Teams
	var id identity
	found := false
	for _, t := range teams {
		if subtle.ConstantTimeCompare(hash, []byte(t.TokenHash)) == 1 {
			id, found = identity{team: t.Name, scope: t.Organisations, readOnly: t.ReadOnly}, true
		}
	}
	bootstrap := s.cfg.BootstrapTokenHash
	if len(teams) == 0 && bootstrap != "" && subtle.ConstantTimeCompare(hash, []byte(bootstrap)) == 1 {
		id, found = identity{team: "bootstrap", scope: []string{core.AllOrganisations}}, true
	}
	return id, found
}
